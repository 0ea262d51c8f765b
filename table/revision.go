package table

// A revision orders all writes to the table service, also across restorations. A service that comes back from a backup counts its
// versions from there and gives some out again, with a higher era. A revision therefore contains the era, in the bits above the
// version. The revision 0 stands for a row that does not exist.

// versionBits is the number of bits for the version. It leaves 8,191 eras to the integers that a JSON number represents exactly.
const versionBits = 40

const (
	// FirstEra is the era of a table service that was never restored. A service that reports no era counts as one of era 0.
	FirstEra = 1
	// MaxVersion is the highest version that a revision can contain.
	MaxVersion = 1<<versionBits - 1
	// MaxEra is the highest era that a revision can contain.
	MaxEra = 1<<(63-versionBits) - 1
)

// RevisionAt returns the revision of a version in an era.
func RevisionAt(era, version int64) int64 { return era<<versionBits | version }

// EraOf returns the era of a revision.
func EraOf(revision int64) int64 { return revision >> versionBits }

// VersionOf returns the version of a revision within its era.
func VersionOf(revision int64) int64 { return revision & MaxVersion }
