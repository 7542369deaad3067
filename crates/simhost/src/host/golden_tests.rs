//! Proves that each action is written with the same bytes, also those that a run of the program brings about rarely or
//! never.

use super::*;
use opalpulley::{EndpointId, MessageId, TimerToken};

const GOLDEN: &str = include_str!("../../tests/golden/actions.txt");
const ENDPOINT: EndpointId = EndpointId {
    address: [10, 18, 74, 7],
    port: 8083,
    incarnation: 9,
};

/// What a reply can hold.
enum Record {
    Action(Action),
    LogLine(String),
}

/// Each action under the name that the simulator's page gives it.
fn records() -> Vec<(&'static str, Record)> {
    let id = MessageId(0x5d3a_91c4);
    let send = |limit| Action::StartAttempt {
        id,
        endpoint: ENDPOINT,
        timeout: limit,
        send_by: 90_000,
    };
    vec![
        ("Relay", Record::Action(send(Some(80_000)))),
        ("Relay, no time-out", Record::Action(send(None))),
        ("Lose", Record::Action(Action::Fail { id })),
        (
            "Reject",
            Record::Action(Action::Reject {
                id,
                retry_after: Some(250_000),
            }),
        ),
        (
            "Reject, no interval",
            Record::Action(Action::Reject {
                id,
                retry_after: None,
            }),
        ),
        (
            "NotifyMe",
            Record::Action(Action::SetTimer {
                delay: 500_000,
                token: TimerToken(0x4d),
            }),
        ),
        (
            "Poll",
            Record::Action(Action::StartHealthCheck { endpoint: ENDPOINT }),
        ),
        (
            "UndoSend",
            Record::Action(Action::CancelAttempt {
                id,
                attempt_index: 2,
            }),
        ),
        (
            "nothing for a withdrawal before the send",
            Record::Action(Action::WithdrawUnsent { endpoint: ENDPOINT }),
        ),
        (
            "CloseIdle",
            Record::Action(Action::CloseIdleConnections { endpoint: ENDPOINT }),
        ),
        (
            "Tail, on",
            Record::Action(Action::WatchEndpointList { enabled: true }),
        ),
        (
            "Tail, off",
            Record::Action(Action::WatchEndpointList { enabled: false }),
        ),
        ("QueryAll", Record::Action(Action::FetchEndpointList)),
        (
            "Notify, one peer",
            Record::Action(Action::SendGossip {
                peer: Some(513),
                payload: b"hi 7".to_vec(),
            }),
        ),
        (
            "Notify, every peer",
            Record::Action(Action::SendGossip {
                peer: None,
                payload: b"hi 7".to_vec(),
            }),
        ),
        ("Log", Record::LogLine("two servers known".to_owned())),
        (
            "Fatal",
            Record::Action(Action::LogError("no way on".to_owned())),
        ),
        (
            "too long an interval",
            Record::Action(Action::SetTimer {
                delay: 1 << 32,
                token: TimerToken(1),
            }),
        ),
        ("too long a text", Record::LogLine("x".repeat(65_536))),
    ]
}

/// The bytes of a reply to batch 12 that holds this action alone, or the words about why there are none.
fn written(record: &Record) -> String {
    let mut reply = Reply::default();
    let pushed = match record {
        Record::Action(action) => reply.push(3, action),
        Record::LogLine(line) => reply.push_log_line(3, line),
    };
    let frame = pushed.and_then(|()| reply.frame(12));
    match frame {
        Ok(frame) => frame.iter().map(|byte| format!("{byte:02x}")).collect(),
        Err(problem) => problem.to_string(),
    }
}

#[test]
fn each_action_is_written_as_recorded() {
    let lines = records()
        .iter()
        .map(|(name, record)| format!("{name}: {}\n", written(record)))
        .collect::<String>();
    assert_eq!(lines, GOLDEN);
}
