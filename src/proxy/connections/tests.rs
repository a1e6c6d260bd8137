use super::*;
use tokio::io::AsyncWriteExt;

const HEAD: &[u8] = b"GET /up HTTP/1.1\r\n\r\n";

/// Connections whose clients send nothing by themselves.
async fn lines<const N: usize>() -> (Lines, [Rc<Line>; N]) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("an address");
    let mut lines = Lines::default();
    let mut all = Vec::new();
    for _ in 0..N {
        let stream = TcpStream::connect(address).await.expect("a connection");
        all.push(Rc::new(Line::new(stream, 1_000)));
    }
    let all: [_; N] = all.try_into().unwrap_or_else(|_| unreachable!("as many as asked for"));
    all.iter().for_each(|line| {
        lines.add(line);
    });
    (lines, all)
}

fn going<const N: usize>(all: &[Rc<Line>; N]) -> Vec<usize> {
    (0..N).filter(|&i| all[i].going.get()).collect()
}

#[tokio::test(start_paused = true)]
async fn the_cheapest_to_lose_goes_first_and_one_with_a_request_never() {
    let (lines, all) = lines::<9>().await;
    let step = || tokio::time::advance(Duration::from_millis(10));
    let [asking, begun, begun_later, kept, silent, _pipelined, stuck, fresh, coming] = &all;
    stuck.stuck.set(true);
    asking.read(HEAD);
    let _ = asking.ask();
    all[5].read(&HEAD.repeat(2));
    let _ = all[5].ask();
    all[5].answer();
    kept.read(HEAD);
    let _ = kept.ask();
    kept.answer();
    begun.read(&HEAD[..5]);
    step().await;
    begun_later.read(&HEAD[..5]);
    tokio::time::advance(FRESH).await;
    fresh.moved.set(Instant::now());
    coming.read(&HEAD[..5]);
    assert!(silent.is_idle() && kept.is_idle() && !begun.is_idle() && begun.is_cheap());
    for most in 1..=4 {
        lines.make_room();
        let mut order = [4, 3, 1, 2][..most].to_vec();
        order.sort_unstable();
        assert_eq!(going(&all), order);
    }
    (0..3).for_each(|_| lines.make_room());
    assert_eq!(going(&all), [1, 2, 3, 4, 7, 8], "those that may go on come last");
}

#[tokio::test]
async fn a_connection_with_bytes_in_the_kernel_is_neither_idle_nor_cheap() {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let stream = TcpStream::connect(listener.local_addr().expect("an address")).await.expect("a connection");
    let (mut client, _) = listener.accept().await.expect("a connection");
    let line = Rc::new(Line::new(stream, 1_000));
    let mut lines = Lines::default();
    lines.add(&line);
    assert!(line.is_idle() && line.is_cheap());
    client.write_all(HEAD).await.expect("it is open");
    assert!(!line.is_idle() && !line.is_cheap());
    lines.make_room();
    assert!(!line.going.get(), "the request would be lost");
    let mut request = [0; HEAD.len()];
    assert_eq!(line.socket().read(&mut request).await, Some(HEAD.len()));
    drop(client);
    line.socket().ended().await;
    assert!(line.is_idle() && line.is_left());
    lines.make_room();
    assert!(line.going.get());
}

#[tokio::test(start_paused = true)]
async fn a_client_has_its_time_for_a_head_and_for_staying_idle() {
    let (_, [line]) = lines::<1>().await;
    let start = Instant::now();
    assert_eq!(line.late(), Some(start + REQUEST_TIME), "it says nothing");
    tokio::time::advance(Duration::from_secs(1)).await;
    line.read(&HEAD[..5]);
    assert_eq!(line.late(), Some(start + HEAD_TIME), "the first head counts from connecting");
    line.read(&HEAD[5..]);
    let _ = line.ask();
    assert_eq!(line.late(), None, "it is the proxy's turn");
    line.answer();
    tokio::time::advance(Duration::from_secs(2)).await;
    line.read(&HEAD[..5]);
    let begun = Instant::now();
    tokio::time::advance(Duration::from_secs(1)).await;
    line.read(&HEAD[5..9]);
    assert_eq!(line.late(), Some(begun + HEAD_TIME), "a later one counts from its first byte");
    line.stuck.set(true);
    assert!(line.late() > Some(begun + HEAD_TIME), "an answer is not cut off while its client reads");
}
