package config

//go:generate go tool stringer -type=Class,Policy,Level,Kind,FileKind,Severity -linecomment -output=enums_string.go

// Class distinguishes short requests from long-running ones.
type Class int

const (
	Interactive Class = iota // interactive
	Bulk                     // bulk
)

func Classes() []Class { return []Class{Interactive, Bulk} }

// Policy is what an assigner minimizes when it moves ranges.
type Policy int

const (
	LeastUnavailable Policy = iota // least-unavailable
	LeastChurn                     // least-churn
)

func Policies() []Policy { return []Policy{LeastUnavailable, LeastChurn} }

// Level is the lowest level of logged messages.
type Level int

// Levels, named as zap names them.
const (
	LevelDebug Level = iota // debug
	LevelInfo               // info
	LevelWarn               // warn
	LevelError              // error
)

func Levels() []Level { return []Level{LevelDebug, LevelInfo, LevelWarn, LevelError} }

// Kind is the JSON type of a value.
type Kind int

const (
	Null   Kind = iota // null
	Bool               // boolean
	Number             // number
	String             // string
	Array              // array
	Object             // object
)

// FileKind is the kind of a file that operators write.
type FileKind int

const (
	FileSettings FileKind = iota // settings
	FileBase                     // base
	FileOverlay                  // overlay
)

func FileKinds() []FileKind { return []FileKind{FileSettings, FileBase, FileOverlay} }

// Severity determines whether a problem prevents the use of a file.
type Severity int

const (
	SeverityError   Severity = iota // error
	SeverityWarning                 // warning
)
