//! The start of the process: its listening address and its configuration.

use crate::rig::*;
use std::io::Read;

/// The kernel keeps the closed connections of a process in TIME_WAIT for a while. The next process must be able to bind
/// the same address during that time.
#[test]
fn a_restarted_proxy_binds_its_address_while_old_connections_are_in_time_wait() {
    let discovery = Discovery::start();
    // No other test uses this loopback address, so the port stays free between the two processes.
    let mut first_config = config("first-life", &discovery);
    first_config["listen"] = "127.77.0.1:0".into();
    let mut proxy = Proxy::start_with_config("first-life", first_config);
    let address = proxy.address;
    let mut client = proxy.client();
    assert_eq!(client.exchange(HEALTH_CHECK).status(), 503);
    proxy.terminate();
    // The proxy closes first, so its side of the connection enters TIME_WAIT.
    assert!(client.ends_cleanly());
    drop(client);
    assert_eq!(proxy.wait().code(), Some(0));
    let mut second_config = config("second-life", &discovery);
    second_config["listen"] = address.to_string().into();
    let restarted = Proxy::start_with_config("second-life", second_config);
    assert_eq!(restarted.address, address);
    assert_eq!(restarted.status_of(HEALTH_CHECK), 503);
}

#[test]
fn an_invalid_configuration_fails_the_start_with_one_line_on_standard_error_that_names_the_fault() {
    let bad_address = r#"{"listen":"here","discovery":"127.0.0.1:1","settings":{}}"#;
    for (name, config, expected) in [
        ("no-json", "{", "malformed configuration"),
        ("no-settings", "{}", "settings"),
        ("bad-address", bad_address, "listen"),
    ] {
        let mut child = spawn_process(name, config);
        let mut text = String::new();
        child
            .stderr
            .take()
            .expect("standard error is a pipe")
            .read_to_string(&mut text)
            .expect("standard error is UTF-8 text");
        assert_eq!(
            child
                .wait()
                .expect("the process is a child of the test")
                .code(),
            Some(1)
        );
        assert_eq!(text.lines().count(), 1, "{text}");
        assert!(text.contains(expected), "{text}");
    }
}
