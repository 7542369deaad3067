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
enum ReplyRecord {
    Action(Action),
    LogLine(String),
}

/// Each action under the name that the simulator's page gives it.
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

/// The bytes of a reply to batch 12 that holds this action alone, or the words about why there are none.
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
    assert_eq!(rendered, GOLDEN);
}
