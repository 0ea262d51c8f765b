package faketable

// The types below are the messages of the etcd v3 KV JSON mapping. Keys and values are base64, and 64-bit
// integers are strings.

type header struct {
	Revision int64 `json:"revision,string"`
}

type rangeRequest struct {
	Key            []byte `json:"key"`
	RangeEnd       []byte `json:"range_end"`
	MinModRevision int64  `json:"min_mod_revision,string"`
}

type row struct {
	Key            []byte `json:"key"`
	Value          []byte `json:"value,omitempty"`
	CreateRevision int64  `json:"create_revision,string"`
	ModRevision    int64  `json:"mod_revision,string"`
	Version        int64  `json:"version,string"`
}

type rangeResponse struct {
	Header header `json:"header"`
	Rows   []row  `json:"kvs,omitempty"`
	Count  int64  `json:"count,string,omitempty"`
}

type compare struct {
	Key         []byte `json:"key"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision int64  `json:"mod_revision,string"`
}

type putRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
}

type deleteRequest struct {
	Key      []byte `json:"key"`
	RangeEnd []byte `json:"range_end"`
}

type operation struct {
	Put    *putRequest    `json:"request_put"`
	Delete *deleteRequest `json:"request_delete_range"`
	Range  *rangeRequest  `json:"request_range"`
}

type txnRequest struct {
	Compare []compare   `json:"compare"`
	Success []operation `json:"success"`
	Failure []operation `json:"failure"`
}

type txnResponse struct {
	Header    header `json:"header"`
	Succeeded bool   `json:"succeeded,omitempty"`
}
