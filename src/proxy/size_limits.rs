//! Sizes of heads and bodies that the clients' and the backends' side share, in bytes. [`Budget`](super::budget::Budget)
//! divides the memory by them.

/// The largest body of a response that is buffered completely, and the part of a request's body that needs no
/// reservation of memory: each connection is budgeted for it.
/// Memory for larger bodies is reserved in units of this size.
pub const BUFFERED_BODY_BYTES: usize = 64 * 1024;
/// The largest body that is forwarded either way: clients send up to 32 MB.
pub const MAX_FORWARDED_BODY_BYTES: u64 = 40 << 20;
/// The largest head of a request. Each client connection is budgeted for it.
pub const MAX_CLIENT_HEAD_BYTES: usize = 16 * 1024;
/// The largest head of a response, and what a connection to a backend reads ahead: an
/// endless head must not take memory until the request times out.
pub const MAX_BACKEND_HEAD_BYTES: usize = 16 * 1024;
