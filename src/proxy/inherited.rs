//! The client listener that the platform passes to the process, where it does.

use socket2::{Socket, Type};
use std::net::TcpListener;
use std::os::fd::{BorrowedFd, RawFd};
use std::{env, io};
use thiserror::Error;

/// Names the listener's descriptor.
const DESCRIPTOR_VARIABLE: &str = "EDGE_FD";

/// Why the descriptor cannot be used.
#[derive(Debug, Error)]
pub enum InheritedError {
    /// The variable has no descriptor's number.
    #[error("{DESCRIPTOR_VARIABLE} is no descriptor: `{0}`")]
    NotANumber(String),
    /// The descriptor cannot be used, most likely because it is not open.
    #[error("{DESCRIPTOR_VARIABLE} names descriptor {descriptor}, which fails: {source}")]
    Unusable {
        /// Its number.
        descriptor: RawFd,
        /// What the kernel says.
        source: io::Error,
    },
    /// The descriptor is open and no listening TCP socket.
    #[error("{DESCRIPTOR_VARIABLE} names descriptor {0}, which does not listen")]
    NotListening(RawFd),
}

/// Returns the client listener that the environment names, if it names one. Must be called before the
/// process opens anything: a descriptor that it opened itself would be taken for one that it
/// inherited.
///
/// # Errors
/// The environment names anything but a listening socket.
pub fn from_env() -> Result<Option<TcpListener>, InheritedError> {
    let Some(descriptor) = descriptor_from_env()? else {
        return Ok(None);
    };
    let unusable = |source| InheritedError::Unusable { descriptor, source };
    let socket = duplicate(descriptor).map_err(unusable)?;
    if !is_tcp_listener(&socket) {
        return Err(InheritedError::NotListening(descriptor));
    }
    socket.set_nonblocking(true).map_err(unusable)?;
    Ok(Some(socket.into()))
}

fn descriptor_from_env() -> Result<Option<RawFd>, InheritedError> {
    let given = env::var_os(DESCRIPTOR_VARIABLE).filter(|given| !given.is_empty());
    let Some(given) = given else {
        return Ok(None);
    };
    let descriptor = given
        .to_str()
        .and_then(|text| text.parse::<RawFd>().ok())
        .filter(|descriptor| *descriptor >= 0);
    match descriptor {
        Some(descriptor) => Ok(Some(descriptor)),
        None => Err(InheritedError::NotANumber(
            given.to_string_lossy().into_owned(),
        )),
    }
}

fn is_tcp_listener(socket: &Socket) -> bool {
    let is_stream = socket.r#type().is_ok_and(|kind| kind == Type::STREAM);
    let has_ip_address = socket
        .local_addr()
        .is_ok_and(|address| address.as_socket().is_some());
    is_stream && has_ip_address && socket.is_listener().unwrap_or(false)
}

/// Duplicates an inherited descriptor. Closing the duplicate, unlike shutting it down, leaves the
/// socket to the other processes that hold it.
#[allow(unsafe_code)]
fn duplicate(descriptor: RawFd) -> io::Result<Socket> {
    // SAFETY: the number is not -1 (the caller takes none below 0), and it is borrowed for this one
    // statement only, in which nothing closes it: no other thread runs yet, and no code of this
    // process owns the number. A descriptor that is not open is merely reported as such by
    // the kernel: duplicating reads nothing through it.
    let borrowed = unsafe { BorrowedFd::borrow_raw(descriptor) };
    borrowed.try_clone_to_owned().map(Socket::from)
}
