package faketable

// Messages of the etcd v3 KV JSON mapping; keys and values are base64, 64-bit integers strings.

type header struct {
	Revision int64 `json:"revision,string"`
}

type rangeRequest struct {
	Key         []byte `json:"key"`
	End         []byte `json:"range_end"`
	MinRevision int64  `json:"min_mod_revision,string"`
}

type row struct {
	Key     []byte `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Create  int64  `json:"create_revision,string"`
	Mod     int64  `json:"mod_revision,string"`
	Version int64  `json:"version,string"`
}

type rangeAnswer struct {
	Header header `json:"header"`
	Rows   []row  `json:"kvs,omitempty"`
	Count  int64  `json:"count,string,omitempty"`
}

type compare struct {
	Key      []byte `json:"key"`
	Target   string `json:"target"`
	Result   string `json:"result"`
	Revision int64  `json:"mod_revision,string"`
}

type putRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
}

type deleteRequest struct {
	Key []byte `json:"key"`
	End []byte `json:"range_end"`
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

type txnAnswer struct {
	Header    header `json:"header"`
	Succeeded bool   `json:"succeeded,omitempty"`
}
