//! Binary frames: batches of records from the simulator, and the replies to them.
//!
//! All integers are big-endian. A batch consists of a header (number of records, number of bytes that follow), the
//! clock and the records. A record consists of a code, the length of its fields in bytes, and the fields. A reply
//! consists of its length in bytes and records of the same form.

mod endpoints;
mod fields;
mod layout;
mod reader;
mod record;
mod writer;

pub use endpoints::EndpointFrames;
pub use layout::BATCH_HEADER_LENGTH;
/// Offset of the list's number in a [`Record::MembershipUpdate`], from the first byte of the record.
pub use layout::membership_update::LIST as UPDATE_LIST_OFFSET;
pub use reader::{BatchReader, batch_length};
pub use record::{ListId, ProxyId, Record, UpdateKind};
pub use writer::ReplyWriter;
