//! Clients that read long responses slowly but steadily.

use crate::rig::*;
use socket2::{Domain, Socket, Type};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

/// The time between two reads of a client.
const READ_INTERVAL: Duration = Duration::from_millis(100);
/// The time for which the clients are watched: longer than a client may read nothing.
const WATCH_TIME: Duration = Duration::from_secs(14);

/// Connects with a receive buffer of this size, so that what the client does not read stays with the proxy.
fn connect_with_receive_buffer(address: SocketAddr, bytes: usize) -> TcpStream {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a descriptor is free");
    socket
        .set_recv_buffer_size(bytes)
        .expect("the buffer may be small");
    socket.connect(&address.into()).expect("the proxy listens");
    socket
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("the timeout is not zero");
    socket.into()
}

/// The length of the responses, which no client reads to the end.
const RESPONSE_LENGTH: usize = 16 << 20;

/// A client that reads at a steady rate, and the buffers of its connection.
#[derive(Clone, Copy, Debug)]
struct SlowReader {
    bytes_per_second: usize,
    receive_buffer: usize,
    /// What the proxy's kernel may hold for the client; `None` for its default.
    proxy_send_buffer: Option<usize>,
}

impl SlowReader {
    /// Reads a response of a proxy of its own for the watch time, and asserts that it is not cut off.
    fn play(self) {
        let name = format!("slow-reader-{self:?}").replace(['{', '}', ' ', ':', ','], "-");
        let discovery = Discovery::start();
        let body = "y".repeat(RESPONSE_LENGTH);
        let backend = Backend::start(move |_| ok(&body));
        let buffers = SocketBuffers {
            client_send: self.proxy_send_buffer,
            ..SocketBuffers::default()
        };
        let proxy = buffers.start_proxy(&name, &config(&name, &discovery));
        discovery.publish_and_wait(true, &[active_endpoint("s-1", backend.address)]);
        let mut stream = connect_with_receive_buffer(proxy.address, self.receive_buffer);
        let request = request_with_timeout("charge", "1", "x", 1_000);
        let sent = stream.write_all(request.as_bytes());
        sent.expect("the proxy reads the request");
        let reads_per_second = Duration::from_secs(1).div_duration_f64(READ_INTERVAL) as usize;
        let mut piece = vec![0; self.bytes_per_second / reads_per_second];
        let began = Instant::now();
        while began.elapsed() < WATCH_TIME {
            let read = stream.read(&mut piece).unwrap_or(0);
            let elapsed = began.elapsed();
            assert!(read > 0, "{self:?}: the response ends after {elapsed:?}");
            thread::sleep(READ_INTERVAL);
        }
    }
}

/// Guards against long responses that were cut off after 10 s although their clients kept reading: the kernel reports that
/// it takes more bytes only once a third of its buffer is free, and a buffer of megabytes takes a slow client longer.
#[test]
fn a_client_that_reads_slowly_keeps_its_response_whatever_the_kernel_buffers() {
    let readers = [
        (64_000, 64 << 10, None),
        (32_000, 64 << 10, None),
        (20_000, 16 << 10, None),
        (64_000, 1 << 20, None),
        (32_000, 64 << 10, Some(200_000)),
        (20_000, 16 << 10, Some(4 << 10)),
    ];
    let plays: Vec<_> = readers
        .into_iter()
        .map(|(bytes_per_second, receive_buffer, proxy_send_buffer)| {
            let reader = SlowReader {
                bytes_per_second,
                receive_buffer,
                proxy_send_buffer,
            };
            thread::spawn(move || reader.play())
        })
        .collect();
    for play in plays {
        play.join().expect("the response goes on");
    }
}
