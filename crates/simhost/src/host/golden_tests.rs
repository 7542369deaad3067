//! Tests that the encoding of each action does not change between versions. The cases include actions that a run of the
//! program causes rarely or never.

use super::*;
use opalpulley::{EndpointId, MessageId, TimerToken};

const GOLDEN: &str = include_str!("../../tests/golden/actions.txt");
const ENDPOINT: EndpointId = EndpointId {
    address: [10, 18, 74, 7],
    port: 8083,
    incarnation: 9,
};

/// The input of a case: a record to add to the reply.
enum ReplyRecord {
    Action(Action),
    LogLine(String),
}

/// Returns each action with the name of its case in the golden file.
fn recorded_cases() -> Vec<(&'static str, ReplyRecord)> {
    let id = MessageId(0x5d3a_91c4);
    let start_attempt = |timeout| Action::StartAttempt {
        id,
        endpoint: ENDPOINT,
        timeout,
        send_by: 90_000,
    };
    vec![
        ("Relay", ReplyRecord::Action(start_attempt(Some(80_000)))),
        (
            "Relay, no time-out",
            ReplyRecord::Action(start_attempt(None)),
        ),
        ("Lose", ReplyRecord::Action(Action::Fail { id })),
        (
            "Reject",
            ReplyRecord::Action(Action::Reject {
                id,
                retry_after: Some(250_000),
            }),
        ),
        (
            "Reject, no interval",
            ReplyRecord::Action(Action::Reject {
                id,
                retry_after: None,
            }),
        ),
        (
            "NotifyMe",
            ReplyRecord::Action(Action::SetTimer {
                delay: 500_000,
                token: TimerToken(0x4d),
            }),
        ),
        (
            "Poll",
            ReplyRecord::Action(Action::StartHealthCheck { endpoint: ENDPOINT }),
        ),
        (
            "UndoSend",
            ReplyRecord::Action(Action::CancelAttempt {
                id,
                attempt_index: 2,
            }),
        ),
        (
            "nothing for a withdrawal before the send",
            ReplyRecord::Action(Action::WithdrawUnsent { endpoint: ENDPOINT }),
        ),
        (
            "CloseIdle",
            ReplyRecord::Action(Action::CloseIdleConnections { endpoint: ENDPOINT }),
        ),
        (
            "Tail, on",
            ReplyRecord::Action(Action::WatchEndpointList { enabled: true }),
        ),
        (
            "Tail, off",
            ReplyRecord::Action(Action::WatchEndpointList { enabled: false }),
        ),
        ("QueryAll", ReplyRecord::Action(Action::FetchEndpointList)),
        (
            "Notify, one peer",
            ReplyRecord::Action(Action::SendGossip {
                peer: Some(513),
                payload: b"hi 7".to_vec(),
            }),
        ),
        (
            "Notify, every peer",
            ReplyRecord::Action(Action::SendGossip {
                peer: None,
                payload: b"hi 7".to_vec(),
            }),
        ),
        ("Log", ReplyRecord::LogLine("two servers known".to_owned())),
        (
            "Fatal",
            ReplyRecord::Action(Action::LogError("no way on".to_owned())),
        ),
        (
            "too long an interval",
            ReplyRecord::Action(Action::SetTimer {
                delay: 1 << 32,
                token: TimerToken(1),
            }),
        ),
        ("too long a text", ReplyRecord::LogLine("x".repeat(65_536))),
    ]
}

/// Returns the reply to batch 12 with this record alone, in hexadecimal, or the error message if the record can't be
/// encoded.
fn render_reply(record: &ReplyRecord) -> String {
    let mut reply = Reply::default();
    let push_result = match record {
        ReplyRecord::Action(action) => reply.push_action(3, action),
        ReplyRecord::LogLine(line) => reply.push_log_line(3, line),
    };
    let frame = push_result.and_then(|()| reply.encode(12));
    match frame {
        Ok(frame) => frame.iter().map(|byte| format!("{byte:02x}")).collect(),
        Err(error) => error.to_string(),
    }
}

#[test]
fn encodes_each_action_as_recorded() {
    let rendered = recorded_cases()
        .iter()
        .map(|(name, record)| format!("{name}: {}\n", render_reply(record)))
        .collect::<String>();
    assert_eq!(
        rendered, GOLDEN,
        "the encoded actions must be those of the golden file"
    );
}
