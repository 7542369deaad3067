//! Tests the program with lists of a hundred thousand entries. These tests have a separate file because they use the
//! processor for seconds: the tests of a file run in parallel, and some in other files expect responses within tenths of a
//! second.

mod common;

use common::*;
use std::net::SocketAddr;

/// Lists have a hundred thousand entries. Half of the entries leave and return, and some lists are truncated or contain
/// unknown names. The endpoint that is in each list receives each message once, and the program keeps running.
#[test]
fn loses_no_message_when_long_lists_change_or_are_truncated() {
    const OTHERS: u32 = 100_000;
    let (endpoint, request_log) = endpoint_responding_with("200 OK");
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
    let half_list = endpoint_list(2, true, &with_endpoint(&mut (0..OTHERS).step_by(2)));
    let unknown = vec![member(endpoint, 7, "Ready").replace(r#""a""#, r#""nowhere""#)];
    let full_list = endpoint_list(2, true, &all);
    let truncated = full_list[..full_list.len() / 2].to_owned();
    let platform = start_platform(all, 0);
    let (_dir, state) = state_folder();
    let forwarder = start(
        &state,
        &startup_config("notice", "guarded", 200, 3.0),
        platform.address,
    );
    let changes = [
        half_list.clone(),
        full_list.clone(),
        truncated,
        half_list,
        endpoint_list(2, false, &unknown),
        full_list,
    ];
    for (round, change) in changes.into_iter().enumerate() {
        push_change(&platform, change);
        let ids: Vec<String> = (0..10).map(|n| format!("p-{round}-{n}")).collect();
        for id in &ids {
            assert_eq!(
                forwarder.submit(id, "notice"),
                202,
                "status of the submission {id}"
            );
            sleep_ms(100); // the list is received between the submissions
        }
        wait_until("each message is delivered once", || {
            ids.iter().all(|id| count_calls(&request_log, id) == 1)
        });
    }
    assert!(
        platform
            .pending_changes
            .lock()
            .expect("the changes are not poisoned")
            .is_empty(),
        "expected all lists to be fetched"
    );
    assert!(report_bodies(&platform).is_empty());
    assert_eq!(
        request_log
            .lock()
            .expect("the request log is not poisoned")
            .iter()
            .filter(|request| request.first_line.starts_with("POST"))
            .count(),
        60
    );
}
