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
	// HeaderRequestID identifies a request to a minion. The answer repeats it.
	HeaderRequestID = "X-Request-Id"
	// HeaderEntry names the catalogue entry of a request to a minion.
	HeaderEntry = "X-Entry"
	// HeaderDeadlineMs is the time left for a request in milliseconds.
	HeaderDeadlineMs = "X-Deadline-Ms"
	// HeaderBodyLength is the length of the body in bytes. Content-Length is not
	// sufficient as a check, because proxies on the way rewrite it.
	HeaderBodyLength = "X-Body-Length"
	// HeaderBodyChecksum is the xxHash64 of the body in 16 hexadecimal digits.
	HeaderBodyChecksum = "X-Body-Checksum"
	// HeaderAsOf is the time at which the VM list was current, as Unix time in
	// milliseconds. An answer 304 gives the new time of an unchanged list.
	HeaderAsOf = "X-As-Of-Ms"
	// HeaderNotRun with the value true means that the request took no effect.
	HeaderNotRun = "X-Not-Run"
	// HeaderLeaving with the value true means that a minion accepts no new work.
	HeaderLeaving = "X-Leaving"
	// HeaderAbsent with the value true distinguishes a missing row or object from an
	// unknown path.
	HeaderAbsent = "X-Absent"
	// HeaderTrue is the only value of the boolean headers; false is their absence.
	HeaderTrue = "true"
)
