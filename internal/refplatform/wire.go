package refplatform

// Paths of the services below their base URL or address.
const (
	PathRow     = "/v1/row"     // GET, query key
	PathRows    = "/v1/rows"    // GET, query prefix and since
	PathCommit  = "/v1/commit"  // POST TableCommit
	PathObject  = "/v1/object"  // GET, PUT, DELETE, query key
	PathVMs     = "/v1/vms"     // GET VMList
	PathReport  = "/v1/report"  // GET WorkerReport
	PathStart   = "/v1/start"   // POST StartTask, answers StartReply
	PathRenew   = "/v1/renew"   // POST RenewTasks, answers TaskReports
	PathActions = "/v1/actions" // POST TaskAction, answers TaskReports
	PathRun     = "/v1/run"     // POST payload of a request to a minion
)

// Query parameters.
const (
	ParamKey    = "key"
	ParamPrefix = "prefix"
	ParamSince  = "since"
)

// Headers of requests and answers.
const (
	// HeaderRequestID identifies a request to a minion, and repeats it in the answer.
	HeaderRequestID = "X-Request-Id"
	// HeaderEntry names the catalogue entry of a request to a minion.
	HeaderEntry = "X-Entry"
	// HeaderDeadlineMs is the time left for a request in milliseconds.
	HeaderDeadlineMs = "X-Deadline-Ms"
	// HeaderBodyLength is the length of the body in bytes. It is checked apart from
	// Content-Length, because intermediate parties rewrite that one.
	HeaderBodyLength = "X-Body-Length"
	// HeaderBodyChecksum is the xxHash64 of the body in 16 hexadecimal digits.
	HeaderBodyChecksum = "X-Body-Checksum"
	// HeaderAsOf gives the time of an unchanged VM list, Unix time in milliseconds.
	HeaderAsOf = "X-As-Of-Ms"
	// HeaderNotRun with the value true says that the request took no effect.
	HeaderNotRun = "X-Not-Run"
	// HeaderLeaving with the value true says that a minion takes no new work.
	HeaderLeaving = "X-Leaving"
	// HeaderAbsent with the value true tells a missing row or object from a missing path.
	HeaderAbsent = "X-Absent"
	// HeaderTrue is the value of the headers that are set or absent.
	HeaderTrue = "true"
)
