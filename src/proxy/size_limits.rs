//! Limits on the sizes of heads and bodies of clients and backends, in bytes.

/// The largest response body that is buffered completely, and the size of the pieces in which bodies are buffered. A
/// request body up to this size has precedence over larger ones for memory.
pub const BUFFERED_BODY_BYTES: usize = 64 * 1024;
/// The largest body that is forwarded, of a request or a response. Clients send up to 32 MB.
pub const MAX_FORWARDED_BODY_BYTES: u64 = 40 << 20;
/// The largest head of a request.
pub const MAX_CLIENT_HEAD_BYTES: usize = 16 * 1024;
/// The largest head of a response, and the size of the read buffer of a backend connection. Without a limit, an endless
/// head would take memory until the request times out.
pub const MAX_BACKEND_HEAD_BYTES: usize = 16 * 1024;
