//! The whole program with lists of a hundred thousand entries. In a file of its own: it takes the processor for seconds, and the
//! tests of a file run side by side, some of which want answers within tenths of a second.

mod common;

use common::*;
use std::net::SocketAddr;

/// Rule 1 where lists have a hundred thousand entries, half of which come and go, and others are cut off or have unknown names:
/// the endpoint that is in each of them gets each message once, and the program stays up.
#[test]
fn lists_that_are_long_flap_or_are_cut_off_lose_no_message() {
    const OTHERS: u32 = 100_000;
    let (endpoint, seen) = endpoint_with("200 OK");
    let other = |n: u32| {
        let address = SocketAddr::from((std::net::Ipv4Addr::from(0x0a00_0000 + n), 80));
        member_named(&format!("t-{n}"), address, 1_000 + n, "Ready")
    };
    let with_endpoint = |others: &mut dyn Iterator<Item = u32>| {
        others
            .map(other)
            .chain([member(endpoint, 7, "Ready")])
            .collect::<Vec<_>>()
    };
    let all = with_endpoint(&mut (0..OTHERS));
    let half = endpoint_list(2, true, &with_endpoint(&mut (0..OTHERS).step_by(2)));
    let unknown = vec![member(endpoint, 7, "Ready").replace(r#""a""#, r#""nowhere""#)];
    let whole = endpoint_list(2, true, &all);
    let cut = whole[..whole.len() / 2].to_owned();
    let platform = start_platform(all, 0);
    let (_dir, state) = state_folder();
    let forwarder = start(
        &state,
        &startup_config("notice", "guarded", 200, 3.0),
        platform.address,
    );
    let changes = [
        half.clone(),
        whole.clone(),
        cut,
        half,
        endpoint_list(2, false, &unknown),
        whole,
    ];
    for (round, text) in changes.into_iter().enumerate() {
        push_change(&platform, text);
        let ids: Vec<String> = (0..10).map(|n| format!("p-{round}-{n}")).collect();
        for id in &ids {
            assert_eq!(forwarder.submit(id, "notice"), 202, "{id}");
            pause(100); // so that the list comes amid them
        }
        wait_until("each is delivered", || {
            ids.iter().all(|id| count_calls(&seen, id) == 1)
        });
    }
    assert!(
        platform
            .pending_changes
            .lock()
            .expect("the changes")
            .is_empty(),
        "a list was not fetched"
    );
    assert!(report_bodies(&platform).is_empty());
    assert_eq!(
        seen.lock()
            .expect("the log")
            .iter()
            .filter(|m| m.first_line.starts_with("POST"))
            .count(),
        60
    );
}
