//! Proves that each action is written with the same bytes, also those that a run of the program brings about rarely or
//! never.

use super::*;
use opalpulley::TargetId;

const GOLDEN: &str = include_str!("../../tests/golden/actions.txt");
const ENDPOINT: TargetId = TargetId { address: [10, 18, 74, 7], port: 8083, holder: 9 };

/// Each action under the name that the simulator's page gives it.
fn actions() -> Vec<(&'static str, Action)> {
    let id = PacketId(0x5d3a_91c4);
    let send = |limit| Action::Send { id, target: ENDPOINT, limit, begin_by: 90_000 };
    vec![
        ("Relay", send(Some(80_000))),
        ("Relay, no time-out", send(None)),
        ("Lose", Action::WriteOff { id }),
        ("Reject", Action::Defer { id, come_back: Some(250_000) }),
        ("Reject, no interval", Action::Defer { id, come_back: None }),
        ("NotifyMe", Action::Wake { after: 500_000, token: Token(0x4d) }),
        ("Poll", Action::Probe { target: ENDPOINT }),
        ("UndoSend", Action::CallOff { id, trip: 2 }),
        ("nothing for a withdrawal before the send", Action::TakeBack { target: ENDPOINT }),
        ("CloseIdle", Action::CloseIdle { target: ENDPOINT }),
        ("Tail, on", Action::Watch { on: true }),
        ("Tail, off", Action::Watch { on: false }),
        ("QueryAll", Action::FetchList),
        ("Notify, one peer", Action::SendGossip { peer: Some(513), message: b"hi 7".to_vec() }),
        ("Notify, every peer", Action::SendGossip { peer: None, message: b"hi 7".to_vec() }),
        ("Log", Action::Log("two servers known".to_owned())),
        ("Fatal", Action::Fault("no way on".to_owned())),
        ("too long an interval", Action::Wake { after: 1 << 32, token: Token(1) }),
        ("too long a text", Action::Log("x".repeat(65_536))),
    ]
}

/// The bytes of a reply to batch 12 that holds this action alone, or the words about why there are none.
fn written(action: &Action) -> String {
    let mut reply = Reply::default();
    let frame = reply.push(3, action).and_then(|()| reply.frame(12));
    match frame {
        Ok(frame) => frame.iter().map(|byte| format!("{byte:02x}")).collect(),
        Err(problem) => problem.to_string(),
    }
}

#[test]
fn each_action_is_written_as_recorded() {
    let lines =
        actions().iter().map(|(name, action)| format!("{name}: {}\n", written(action))).collect::<String>();
    assert_eq!(lines, GOLDEN);
}
