//! Starts the proxy with other sizes of the kernel's socket buffers than the defaults of this machine.

use super::process::{Proxy, proxy_command};
use serde_json::Value;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;

/// The sizes of the buffers of the proxy's sockets in bytes; `None` for the kernel's default.
#[derive(Clone, Copy, Debug, Default)]
pub struct SocketBuffers {
    /// What the kernel may hold for a backend.
    pub backend_send: Option<usize>,
    /// What the kernel may hold that a client has sent.
    pub client_receive: Option<usize>,
    /// What the kernel may hold for a client.
    pub client_send: Option<usize>,
}

impl SocketBuffers {
    /// Starts a proxy whose sockets have these buffers.
    pub fn start_proxy(self, name: &str, config: &Value) -> Proxy {
        let mut command = proxy_command(name, &config.to_string());
        command.env("LD_PRELOAD", library());
        let sizes = [
            ("BACKEND_SEND_BYTES", self.backend_send),
            ("CLIENT_RECEIVE_BYTES", self.client_receive),
            ("CLIENT_SEND_BYTES", self.client_send),
        ];
        for (variable, size) in sizes {
            if let Some(bytes) = size {
                command.env(variable, bytes.to_string());
            }
        }
        Proxy::start_with_command(name, command)
    }
}

/// Compiles the library that sets the sizes, once in a test process, and returns its path. The compiler is the one that
/// links Rust programs.
fn library() -> &'static Path {
    static LIBRARY: OnceLock<PathBuf> = OnceLock::new();
    LIBRARY.get_or_init(|| {
        let path = Path::new(env!("CARGO_TARGET_TMPDIR"))
            .join(format!("socket_buffers-{}.so", std::process::id()));
        let source = concat!(
            env!("CARGO_MANIFEST_DIR"),
            "/tests/proxy/rig/socket_buffers.c"
        );
        let compiled = Command::new("cc")
            .args(["-shared", "-fPIC", "-o"])
            .arg(&path)
            .args([source, "-ldl"])
            .status()
            .expect("the C compiler that links Rust programs can be executed");
        assert!(compiled.success(), "{source} compiles");
        path
    })
}
