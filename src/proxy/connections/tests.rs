use super::*;
use tokio::io::AsyncWriteExt;

const HEAD: &[u8] = b"GET /up HTTP/1.1\r\n\r\n";

/// Open connections whose clients send nothing.
async fn connections<const N: usize>() -> (ClientConnections, [Rc<ClientConnection>; N]) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port");
    let address = listener.local_addr().expect("an address");
    let mut connections = ClientConnections::default();
    let mut all = Vec::new();
    for _ in 0..N {
        let stream = TcpStream::connect(address).await.expect("a connection");
        all.push(Rc::new(ClientConnection::new(stream, 1_000)));
    }
    let all: [_; N] = all
        .try_into()
        .unwrap_or_else(|_| unreachable!("as many as asked for"));
    for connection in &all {
        connections.add(connection);
    }
    (connections, all)
}

fn evicting<const N: usize>(all: &[Rc<ClientConnection>; N]) -> Vec<usize> {
    (0..N).filter(|&i| all[i].eviction_pending.get()).collect()
}

#[tokio::test(start_paused = true)]
async fn the_cheapest_connection_is_evicted_first_and_one_with_a_request_never() {
    let (connections, all) = connections::<9>().await;
    let step = || tokio::time::advance(Duration::from_millis(10));
    let [
        serving,
        partial,
        partial_later,
        idle,
        unused,
        pipelined,
        write_blocked,
        just_connected,
        just_reading,
    ] = &all;
    write_blocked.write_blocked.set(true);
    serving.record_read(HEAD);
    let _ = serving.begin_request();
    pipelined.record_read(&HEAD.repeat(2));
    let _ = pipelined.begin_request();
    pipelined.end_request();
    idle.record_read(HEAD);
    let _ = idle.begin_request();
    idle.end_request();
    partial.record_read(&HEAD[..5]);
    step().await;
    partial_later.record_read(&HEAD[..5]);
    tokio::time::advance(ACTIVE_WINDOW).await;
    just_connected.last_activity.set(Instant::now());
    just_reading.record_read(&HEAD[..5]);
    assert!(unused.is_idle() && idle.is_idle() && !partial.is_idle() && partial.is_evictable());
    for most in 1..=4 {
        connections.evict_one();
        let mut order = [4, 3, 1, 2][..most].to_vec();
        order.sort_unstable();
        assert_eq!(evicting(&all), order);
    }
    for _ in 0..3 {
        connections.evict_one();
    }
    assert_eq!(evicting(&all), [1, 2, 3, 4, 7, 8], "active ones come last");
}

#[tokio::test]
async fn a_connection_with_unread_bytes_is_neither_idle_nor_evicted() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
        .await
        .expect("a port");
    let stream = TcpStream::connect(listener.local_addr().expect("an address"))
        .await
        .expect("a connection");
    let (mut client, _) = listener.accept().await.expect("a connection");
    let connection = Rc::new(ClientConnection::new(stream, 1_000));
    let mut connections = ClientConnections::default();
    connections.add(&connection);
    assert!(connection.is_idle() && connection.is_evictable());
    client.write_all(HEAD).await.expect("it is open");
    assert!(!connection.is_idle() && !connection.is_evictable());
    connections.evict_one();
    assert!(
        !connection.eviction_pending.get(),
        "the request would be lost"
    );
    let mut request = [0; HEAD.len()];
    assert_eq!(
        connection.socket().read(&mut request).await,
        Some(HEAD.len())
    );
    drop(client);
    connection.socket().closed_by_peer().await;
    assert!(connection.is_idle() && connection.is_closed_by_client());
    connections.evict_one();
    assert!(connection.eviction_pending.get());
}

#[tokio::test(start_paused = true)]
async fn a_client_has_a_deadline_for_a_head_and_for_staying_idle() {
    let (_, [connection]) = connections::<1>().await;
    let start = Instant::now();
    assert_eq!(
        connection.deadline(),
        Some(start + CLIENT_IDLE_TIMEOUT),
        "it is silent"
    );
    tokio::time::advance(Duration::from_secs(1)).await;
    connection.record_read(&HEAD[..5]);
    assert_eq!(
        connection.deadline(),
        Some(start + HEAD_TIMEOUT),
        "the first head counts from connecting"
    );
    connection.record_read(&HEAD[5..]);
    let _ = connection.begin_request();
    assert_eq!(connection.deadline(), None, "it is the proxy's turn");
    connection.end_request();
    tokio::time::advance(Duration::from_secs(2)).await;
    connection.record_read(&HEAD[..5]);
    let begun = Instant::now();
    tokio::time::advance(Duration::from_secs(1)).await;
    connection.record_read(&HEAD[5..9]);
    assert_eq!(
        connection.deadline(),
        Some(begun + HEAD_TIMEOUT),
        "a later one counts from its first byte"
    );
    connection.write_blocked.set(true);
    assert!(
        connection.deadline() > Some(begun + HEAD_TIMEOUT),
        "an answer is not cut off while its client reads"
    );
}
