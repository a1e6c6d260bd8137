//! The listening socket that the platform holds for the clients, where it does.

use socket2::{Socket, Type};
use std::net::TcpListener;
use std::os::fd::{BorrowedFd, RawFd};
use std::{env, fmt, io};

/// The variable that names its descriptor.
const VARIABLE: &str = "EDGE_FD";

/// Why the descriptor can't be used.
#[derive(Debug)]
pub enum InheritedError {
    /// The variable holds no descriptor's number.
    Number(String),
    /// It can't be asked, most likely since it is not open.
    Unusable(RawFd, io::Error),
    /// It is open and something else.
    NotListening(RawFd),
}

impl fmt::Display for InheritedError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Number(given) => write!(f, "{VARIABLE} is no descriptor: `{given}`"),
            Self::Unusable(fd, error) => {
                write!(f, "{VARIABLE} names descriptor {fd}, which fails: {error}")
            }
            Self::NotListening(fd) => {
                write!(f, "{VARIABLE} names descriptor {fd}, which does not listen")
            }
        }
    }
}

impl std::error::Error for InheritedError {}

/// The clients' listener that the environment names, if it names one. This has to come before the process
/// opens anything, so that a number that was not inherited is not taken for one that was.
///
/// # Errors
/// Where it names anything but a listening socket.
pub fn from_env() -> Result<Option<TcpListener>, InheritedError> {
    let Some(given) = env::var_os(VARIABLE).filter(|given| !given.is_empty()) else {
        return Ok(None);
    };
    let fd = given
        .to_str()
        .and_then(|s| s.parse::<RawFd>().ok())
        .filter(|fd| *fd >= 0);
    let fd = fd.ok_or_else(|| InheritedError::Number(given.to_string_lossy().into_owned()))?;
    let socket = duplicate(fd).map_err(|error| InheritedError::Unusable(fd, error))?;
    let listens = socket.is_listener().unwrap_or(false)
        && socket.r#type().is_ok_and(|t| t == Type::STREAM)
        && socket.local_addr().is_ok_and(|a| a.as_socket().is_some());
    if !listens {
        return Err(InheritedError::NotListening(fd));
    }
    socket
        .set_nonblocking(true)
        .map_err(|error| InheritedError::Unusable(fd, error))?;
    Ok(Some(socket.into()))
}

/// A descriptor of our own for an inherited one. Closing it, unlike shutting it down, leaves the socket to
/// the others that hold it.
#[allow(unsafe_code)]
fn duplicate(fd: RawFd) -> io::Result<Socket> {
    // SAFETY: the number is not -1 (the caller takes none below 0), and it is borrowed for this one statement
    // only, in which nothing closes it: no other thread runs yet, and no code of this process owns the
    // number. One that is not open is merely reported as such by the kernel, for duplicating reads nothing
    // through it.
    let borrowed = unsafe { BorrowedFd::borrow_raw(fd) };
    borrowed.try_clone_to_owned().map(Socket::from)
}
