package engine

// Paths of the engine HTTP API. Bodies are protobuf messages in JSON. The
// response to PathGenerate is a stream of GenerateEvents, one per line.
const (
	// PathGenerate accepts a GenerateRequest by POST.
	PathGenerate = "/v1/generate"
	// PathSequences is followed by a sequence ID. DELETE cancels the sequence;
	// POST to the ID followed by PathExport exports its KV cache.
	PathSequences = "/v1/sequences/"
	// PathExport follows an ID under PathSequences.
	PathExport = "/export"
	// PathLoad returns a LoadReport.
	PathLoad = "/v1/load"
	// PathState returns a State.
	PathState = "/v1/state"
	// PathCacheEvents returns CacheEvents, starting with the sequence number in
	// the query parameter "since".
	PathCacheEvents = "/v1/cache-events"
	// PathKV is followed by a handle. GET transfers the exported KV cache to
	// another engine; DELETE releases it.
	PathKV = "/v1/kv/"
	// PathImport accepts by POST a GenerateRequest of which only kv_source and
	// kv_handle are used.
	PathImport = "/v1/import"
	// PathOrder accepts an Order by POST and returns an OrderReply.
	PathOrder = "/v1/order"
)

// HeaderKVHandle is the response header that carries the handle of an exported
// KV cache.
const HeaderKVHandle = "X-Kv-Handle"
