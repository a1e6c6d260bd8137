//! The client listener that the process may inherit from its process supervisor (socket activation).

use socket2::{Socket, Type};
use std::net::TcpListener;
use std::os::fd::{BorrowedFd, RawFd};
use std::{env, io};
use thiserror::Error;

/// The environment variable with the number of the listener's descriptor.
const DESCRIPTOR_VARIABLE: &str = "EDGE_FD";

/// The reason why the descriptor that the environment names is not a usable client listener.
#[derive(Debug, Error)]
pub enum InheritedListenerError {
    /// The value of the variable is not the number of a descriptor.
    #[error("{DESCRIPTOR_VARIABLE} is `{0}`, but must be a descriptor number of 0 or more")]
    NotANumber(String),
    /// The descriptor cannot be duplicated or set to non-blocking mode, most likely because it is not open.
    #[error("{DESCRIPTOR_VARIABLE} names descriptor {descriptor}, which cannot be used: {source}")]
    Unusable {
        /// The number of the descriptor.
        descriptor: RawFd,
        /// The error of the system call.
        source: io::Error,
    },
    /// The descriptor is open, but is not a listening TCP socket.
    #[error("{DESCRIPTOR_VARIABLE} names descriptor {0}, which is not a listening TCP socket")]
    NotListening(RawFd),
}

/// Returns the client listener that the environment names, or `None` if it names none.
///
/// The function must be called before the process opens any descriptor, because a descriptor that the process opened
/// itself could be mistaken for the inherited one.
///
/// # Errors
/// The environment names something other than a listening TCP socket.
pub fn from_env() -> Result<Option<TcpListener>, InheritedListenerError> {
    let Some(descriptor) = descriptor_from_env()? else {
        return Ok(None);
    };
    let unusable = |source| InheritedListenerError::Unusable { descriptor, source };
    let socket = duplicate(descriptor).map_err(unusable)?;
    if !is_tcp_listener(&socket) {
        return Err(InheritedListenerError::NotListening(descriptor));
    }
    socket.set_nonblocking(true).map_err(unusable)?;
    Ok(Some(socket.into()))
}

fn descriptor_from_env() -> Result<Option<RawFd>, InheritedListenerError> {
    let value = env::var_os(DESCRIPTOR_VARIABLE).filter(|value| !value.is_empty());
    let Some(value) = value else {
        return Ok(None);
    };
    let descriptor = value
        .to_str()
        .and_then(|text| text.parse::<RawFd>().ok())
        .filter(|descriptor| *descriptor >= 0);
    match descriptor {
        Some(descriptor) => Ok(Some(descriptor)),
        None => Err(InheritedListenerError::NotANumber(
            value.to_string_lossy().into_owned(),
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

/// Duplicates an inherited descriptor. Closing the duplicate leaves the socket open for the other processes that hold
/// it; shutting it down would not.
#[allow(unsafe_code)]
fn duplicate(descriptor: RawFd) -> io::Result<Socket> {
    // SAFETY: the number is not -1, because the caller rejects negative numbers. It is borrowed only until the end of
    // this function, and nothing closes it in that time: no other thread runs yet, and no code of this process owns the
    // number. If the descriptor is not open, the kernel reports an error; duplicating reads nothing through it.
    let borrowed = unsafe { BorrowedFd::borrow_raw(descriptor) };
    borrowed.try_clone_to_owned().map(Socket::from)
}
