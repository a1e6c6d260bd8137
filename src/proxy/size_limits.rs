//! Limits on the sizes of heads and bodies of clients and backends, in bytes. [`Budget`](super::budget::Budget) derives
//! the numbers of connections from them.

/// The largest response body that is buffered completely, and the largest part of a request body that is buffered
/// without a reservation of memory. The budget of each connection includes this size. Memory for larger bodies is
/// reserved in units of this size.
pub const BUFFERED_BODY_BYTES: usize = 64 * 1024;
/// The largest body that is forwarded, of a request or a response. Clients send up to 32 MB.
pub const MAX_FORWARDED_BODY_BYTES: u64 = 40 << 20;
/// The largest head of a request. The budget of each client connection includes it.
pub const MAX_CLIENT_HEAD_BYTES: usize = 16 * 1024;
/// The largest head of a response, and the size of the read buffer of a backend connection. Without a limit, an endless
/// head would take memory until the request times out.
pub const MAX_BACKEND_HEAD_BYTES: usize = 16 * 1024;
