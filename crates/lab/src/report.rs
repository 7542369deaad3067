//! Reports on outcomes: a self-contained HTML page that shows one or several outcomes side by side, with plots as SVG, and
//! the same figures as text for a terminal. `rows` defines the figures, `page` and `plots` render the page.

mod page;
mod plots;
mod rows;

pub use page::html;
pub use plots::PlotError;

use crate::tally::Outcome;
use rows::FIGURES;

/// Upper bound on the rule violations that the text for a terminal contains.
const MAX_PRINTED_VIOLATIONS: usize = 5;

/// Renders the figures of an outcome as text for a terminal, with its missed expectations and its first rule violations.
pub fn text(outcome: &Outcome) -> String {
    let mut text = format!("{}: {}\n", outcome.scenario, outcome.shows);
    for (label, format_figure) in FIGURES {
        text += &format!("  {label:<38}{}\n", format_figure(outcome));
    }
    for miss in outcome.misses() {
        text += &format!("  MISSED: {miss}\n");
    }
    for violation in outcome.breaks.iter().take(MAX_PRINTED_VIOLATIONS) {
        let violated_at_s = violation.at as f64 / 1e6;
        let (rule, description) = (violation.rule, &violation.what);
        text += &format!("  {rule} at {violated_at_s:.3} s: {description}\n");
    }
    text
}

#[cfg(test)]
mod tests;
