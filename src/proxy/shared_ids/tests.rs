use super::*;
use std::env::temp_dir;
use std::net::TcpListener;

const REMEMBERED_TIME: Duration = Duration::from_secs(30);

/// Returns an address that no other test uses while the listener is open.
fn clients() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
    let address = listener.local_addr().expect("the listener is bound");
    // An earlier listener may have had the address.
    let _ = std::fs::remove_file(temp_dir().join(format!("tillerproxy-{address}-ids")));
    (listener, address)
}

fn open(clients: SocketAddr, remembered_time: Duration) -> SharedIds {
    SharedIds::open(&temp_dir(), clients, remembered_time).expect("the directory is writable")
}

#[test]
fn an_id_is_known_to_all_processes_until_it_is_forgotten() {
    let (_listener, clients) = clients();
    let first = open(clients, REMEMBERED_TIME);
    let second = open(clients, REMEMBERED_TIME);
    assert_eq!(first.seed(), second.seed());
    first.insert(7);
    first.insert(7 + BUCKETS);
    drop(first);
    assert!(second.contains(7) && second.contains(7 + BUCKETS) && !second.contains(8));
    second.remove(7);
    let third = open(clients, REMEMBERED_TIME);
    assert!(!third.contains(7) && third.contains(7 + BUCKETS));
}

#[test]
fn a_full_bucket_loses_its_oldest_id_and_no_other() {
    let (_listener, clients) = clients();
    let ids = open(clients, REMEMBERED_TIME);
    let hashes: Vec<u64> = (0..=IDS_PER_BUCKET as u64)
        .map(|n| 5 + n * BUCKETS)
        .collect();
    for &hash in &hashes {
        ids.insert(hash);
        std::thread::sleep(Duration::from_millis(2));
    }
    let known: Vec<bool> = hashes.iter().map(|&hash| ids.contains(hash)).collect();
    assert_eq!(known, [false, true, true, true, true]);
}

#[test]
fn an_id_is_forgotten_after_a_time() {
    let (_listener, clients) = clients();
    let ids = open(clients, Duration::from_millis(20));
    ids.insert(7);
    std::thread::sleep(Duration::from_millis(40));
    assert!(!ids.contains(7));
}
