package origin

import (
	"encoding/binary"
	"encoding/json"
	"slices"
	"strings"
	"time"
)

// segmentRow is the value of the row of a segment. Its names are also those of the rows of hosts of earlier builds.
type segmentRow struct {
	At       int64           `json:"at"` // Unix milliseconds by the clock of the host
	Versions []versionStream `json:"versions"`
}

// versionStream is a version with the streams that were sent to it.
type versionStream struct {
	Pool     string `json:"pool"`
	Software string `json:"software"`
	Streams  []byte `json:"streams"` // keys, each of 8 bytes in big-endian order
}

// Segment is a decoded row.
type Segment struct {
	At       time.Time // of the write, by the clock of the host
	versions []versionStream
}

// EncodeSegment returns the value of the row of a segment.
func EncodeSegment(at time.Time, records []Record) []byte {
	row := segmentRow{At: at.UnixMilli(), Versions: []versionStream{}}
	for _, r := range records {
		n := slices.IndexFunc(row.Versions, func(v versionStream) bool { return v.Pool == r.Version.Pool && v.Software == r.Version.Software })
		if n < 0 {
			n = len(row.Versions)
			row.Versions = append(row.Versions, versionStream{Pool: r.Version.Pool, Software: r.Version.Software})
		}
		row.Versions[n].Streams = binary.BigEndian.AppendUint64(row.Versions[n].Streams, uint64(r.Key))
	}
	value, err := json.Marshal(row)
	if err != nil {
		panic("origin: unable to encode a segment: " + err.Error()) // a struct of plain fields can always be encoded
	}
	return value
}

// DecodeSegment returns the content of the value of a row.
func DecodeSegment(value []byte) (Segment, error) {
	var row segmentRow
	if err := json.Unmarshal(value, &row); err != nil {
		return Segment{}, err
	}
	return Segment{At: time.UnixMilli(row.At), versions: row.Versions}, nil
}

// Versions returns the versions of the records.
func (s Segment) Versions() []Version {
	var list []Version
	for _, v := range s.versions {
		list = append(list, Version{Pool: v.Pool, Software: v.Software})
	}
	return list
}

// find returns the version of a stream's record.
func (s Segment) find(key Key) (Version, bool) {
	for _, v := range s.versions {
		for rest := v.Streams; len(rest) >= 8; rest = rest[8:] {
			if binary.BigEndian.Uint64(rest) == uint64(key) {
				return Version{Pool: v.Pool, Software: v.Software}, true
			}
		}
	}
	return Version{}, false
}

// Rows is what the store says of the streams of all hosts at one time. It is immutable.
type Rows struct {
	segments map[string]Segment // by the key of the row
	bases    map[string]string  // software version by pool
}

// NewRows returns the content of the rows of segments, by their keys, and the base versions by pool. The keys of a process's segments
// ascend in the order of their numbers.
func NewRows(segments map[string]Segment, bases map[string]string) *Rows {
	return &Rows{segments: segments, bases: bases}
}

// Find returns the version of the newest record of a stream.
func (r *Rows) Find(key Key) (Version, bool) {
	newest, version := "", Version{}
	for name, s := range r.segments {
		if v, found := s.find(key); found && strings.Compare(name, newest) > 0 {
			newest, version = name, v
		}
	}
	return version, newest != ""
}

// Bases returns the base versions by pool.
func (r *Rows) Bases() map[string]string { return r.bases }
