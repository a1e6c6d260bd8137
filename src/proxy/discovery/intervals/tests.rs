use super::*;

#[test]
fn long_poll_timeouts_of_polled_proxies_differ_and_stay_within_their_spread() {
    const PROXY_COUNT: u32 = 710;
    let mut timeouts: Vec<Duration> = (0..PROXY_COUNT)
        .map(|proxy_index| polled_long_poll_timeout(proxy_index, PROXY_COUNT))
        .collect();
    timeouts.sort_unstable();
    assert!(timeouts[0] >= POLLED_LONG_POLL_TIMEOUT - MAX_LONG_POLL_SPREAD / 2);
    let longest = timeouts[timeouts.len() - 1];
    assert!(longest <= POLLED_LONG_POLL_TIMEOUT + MAX_LONG_POLL_SPREAD / 2);
    timeouts.dedup();
    assert_eq!(timeouts.len(), PROXY_COUNT as usize);
}

#[test]
fn a_single_proxy_has_the_mean_long_poll_timeout() {
    assert_eq!(polled_long_poll_timeout(0, 1), POLLED_LONG_POLL_TIMEOUT);
}
