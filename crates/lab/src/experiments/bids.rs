//! What the core's own work costs while so many messages wait in one line: the time of one message's arrival and of one attempt's
//! end, with the bid that follows. Wall-clock figures: they are of this machine.

use opalpulley::{
    Action, AttemptHistory, DeliveryClassId, DestinationId, EndpointEntry, EndpointId,
    EndpointKindId, EndpointListUpdate, EndpointStatus, Event, Forwarder, MessageId, Micros,
    Outcome, Submission, TenantId, ZoneId,
};
use serde::Serialize;
use std::time::Instant;

const STEP: Micros = 100; // µs between events

#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Cost {
    pub waiting: u32,
    /// ns of an arrival and of an end, each with what it sets going.
    pub arrival: f64,
    pub end: f64,
}

fn arrival(id: u32, time_to_live: Micros) -> Event {
    Event::Submitted(Submission {
        id: MessageId(id),
        class: DeliveryClassId(0),
        tenant: TenantId(u32::MAX),
        key: None,
        time_left: time_to_live,
        destination: DestinationId(0),
        resubmitted: false,
        history: AttemptHistory::default(),
    })
}

/// One slot, one endpoint, `waiting` messages in line; `rounds` times the message that is out ends and another arrives.
pub fn cost(waiting: u32, rounds: u32) -> Cost {
    let text = "version = 1\nname = \"b\"\nshows = \"b\"\nlasts = \"1s\"\n[forwarders]\nslots = 1\nroom = 4000000000\n\
                [[profiles]]\nname = \"p\"\neffect = \"fingerprinted\"\ncontract_time = \"1m\"\nexpiry = \"1h\"\n\
                [[destinations]]\nname = \"d\"\nrate = 1000000.0\nservice = { kind = \"constant\", time = \"1ms\" }\n\
                [[loads]]\nrate = 1.0\n";
    let scenario = crate::scenario::Scenario::read(text, "bids")
        .unwrap_or_else(|e| unreachable!("a fixed scenario: {e}"));
    let time_to_live = scenario.longest_time_to_live();
    let endpoint = EndpointId {
        address: [10, 0, 0, 1],
        port: 80,
        incarnation: 0,
    };
    let (zone, status, destination, kind) = (
        ZoneId(0),
        EndpointStatus::Ready,
        DestinationId(0),
        EndpointKindId(0),
    );
    let listing = EndpointEntry {
        endpoint,
        zone,
        up_since: 0,
        status,
        rate: 1e6,
        destination,
        kind,
    };
    let mut core = Forwarder::new(scenario.config(0), 1);
    let (mut now, mut actions) = (1_000_000, Vec::new());
    core.handle(
        now,
        Event::EndpointList(EndpointListUpdate::Cached(vec![listing])),
        &mut actions,
    );
    let mut next = 0;
    let mut arrive = |core: &mut Forwarder, now: Micros, actions: &mut Vec<Action>| {
        next += 1;
        core.handle(now, arrival(next, time_to_live), actions);
    };
    for _ in 0..=waiting {
        now += STEP;
        arrive(&mut core, now, &mut actions);
    }
    let (mut ends, mut arrivals) = (0.0, 0.0);
    for _ in 0..rounds {
        let sent = |a: &Action| {
            if let Action::Send { id, .. } = a {
                Some(*id)
            } else {
                None
            }
        };
        let Some(id) = actions.iter().rev().find_map(sent) else {
            break;
        };
        actions.clear();
        now += STEP;
        let begun = Instant::now();
        let (took, closed, report) = (STEP, true, Vec::new());
        core.handle(
            now,
            Event::AttemptEnded {
                id,
                attempt: 0,
                endpoint,
                outcome: Outcome::Delivered,
                took,
                completed: closed,
                report,
            },
            &mut actions,
        );
        ends += begun.elapsed().as_nanos() as f64;
        let begun = Instant::now();
        arrive(&mut core, now, &mut actions);
        arrivals += begun.elapsed().as_nanos() as f64;
    }
    let rounds = f64::from(rounds.max(1));
    Cost {
        waiting,
        arrival: arrivals / rounds,
        end: ends / rounds,
    }
}
