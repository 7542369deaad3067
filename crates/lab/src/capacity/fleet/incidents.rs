//! What happens to the whole fleet at once: a zone or the way between the regions is cut, and back.

use super::plan::{Incident, SECOND, ZONES};
use super::wire::Cut;
use super::{Fleet, WorldEvent};
use opalpulley::Micros;

/// The zone that is cut off: not one of discovery's.
const CUT_ZONE: u16 = ZONES - 1;
impl Fleet<'_> {
    /// Plans the incident of the run, if one is asked for.
    pub(super) fn schedule_incident(&mut self) {
        let (from, until) = self.plan.incident_span();
        match self.plan.incident {
            Incident::None => {}
            Incident::Change => self.events.push(from, WorldEvent::Change { drawn: false }),
            Incident::ZoneCut | Incident::RegionCut => {
                self.events
                    .push(from, WorldEvent::Incident { begins: true });
                // One change in the midst of it, one just after it: who has them when?
                self.events
                    .push((from + until) / 2, WorldEvent::Change { drawn: false });
                self.events
                    .push(until, WorldEvent::Incident { begins: false });
                self.events
                    .push(until + SECOND, WorldEvent::Change { drawn: false });
            }
        }
    }

    /// The incident begins or ends.
    pub(super) fn incident(&mut self, now: Micros, begins: bool) {
        let was = self.wire.cut;
        self.wire.cut = match (self.plan.incident, begins) {
            (Incident::ZoneCut, true) => Cut::Zone(CUT_ZONE),
            (Incident::RegionCut, true) => Cut::Regions,
            _ => Cut::None,
        };
        if !begins {
            let reaching = self.discovery.heal(now, was);
            self.later(reaching);
        }
        if self.plan.incident == Incident::ZoneCut {
            let (layout, receivers) = (&self.layout, &mut self.receivers);
            let all = layout.destinations.iter().zip(0..);
            all.filter(|(d, _)| d.zone == CUT_ZONE)
                .for_each(|(_, n)| receivers.cut_zone(now, n, begins));
            self.share_arrivals(now, |zone| !begins || zone != CUT_ZONE);
        }
    }

    /// Clients give their messages to the forwarders of these zones, evenly.
    fn share_arrivals(&mut self, now: Micros, takes: impl Fn(u16) -> bool) {
        let taking = self
            .forwarders
            .iter()
            .filter(|f| takes(f.zone))
            .count()
            .max(1);
        let each = self.plan.events_a_second / taking as f64;
        for forwarder in &mut self.forwarders {
            let a_second = if takes(forwarder.zone) { each } else { 0.0 };
            forwarder.set_arrivals(now, a_second);
        }
    }
}
