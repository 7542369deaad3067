//! The HTML page of a report. It holds everything itself.

use super::plots::{plots, PlotError};
use super::rows::ROWS;
use crate::oracle::RuleViolation;
use crate::tally::{Clock, FaultPeriod, Outcome};

const STYLE: &str = "body{font:14px/1.4 sans-serif;margin:2em auto;max-width:1000px;color:#222}\
    table{border-collapse:collapse}td,th{border:1px solid #ccc;padding:2px 8px;text-align:left}\
    svg{display:block;margin:.6em 0}.bad{color:#a00}";

/// The page of one or several outcomes, side by side.
pub fn html(outcomes: &[Outcome]) -> Result<String, PlotError> {
    let title = outcomes
        .first()
        .map_or("nothing", |outcome| outcome.scenario.as_str());
    let title = escaped(title);
    let mut page = format!(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>{title}</title>\
         <style>{STYLE}</style></head><body><h1>{title}</h1>\n"
    );
    if let Some(first) = outcomes.first() {
        page += &format!("<p>{}</p>\n", escaped(&first.shows));
    }
    page += &figures(outcomes);
    for outcome in outcomes {
        page += &section(outcome)?;
    }
    page += "</body></html>\n";
    Ok(page)
}

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}

/// The table of figures, a column an outcome.
fn figures(outcomes: &[Outcome]) -> String {
    let mut table = String::from("<table>\n");
    for (name, figure) in ROWS {
        let cells: String = outcomes
            .iter()
            .map(|outcome| format!("<td>{}</td>", escaped(&figure(outcome))))
            .collect();
        table += &format!("<tr><th>{name}</th>{cells}</tr>\n");
    }
    table + "</table>\n"
}

/// What one outcome misses, its plots, its faults and the rules that it broke.
fn section(outcome: &Outcome) -> Result<String, PlotError> {
    let clock = match outcome.clock {
        Clock::Simulated => "Simulated",
        Clock::Sockets => "On sockets",
    };
    let subject = escaped(&outcome.subject);
    let mut section = format!("<h2>{clock}, seed {}, {subject}</h2>\n", outcome.seed);
    section += &misses(outcome);
    section += &plots(outcome)?;
    section += &faults(&outcome.spells);
    section += &breaks(&outcome.breaks);
    Ok(section)
}

fn misses(outcome: &Outcome) -> String {
    let misses = outcome.misses();
    if misses.is_empty() {
        return String::new();
    }
    let items: String = misses
        .iter()
        .map(|miss| format!("<li>{}</li>", escaped(miss)))
        .collect();
    format!("<ul class=\"bad\">{items}</ul>\n")
}

fn faults(periods: &[FaultPeriod]) -> String {
    if periods.is_empty() {
        return String::new();
    }
    let mut table = String::from(
        "<table><tr><th>went wrong (shaded)</th><th>from s</th><th>until s</th></tr>\n",
    );
    for period in periods {
        let (from, until) = (period.from as f64 / 1e6, period.until as f64 / 1e6);
        let what = escaped(&period.what);
        table += &format!("<tr><td>{what}</td><td>{from:.1}</td><td>{until:.1}</td></tr>\n");
    }
    table + "</table>\n"
}

fn breaks(breaks: &[RuleViolation]) -> String {
    if breaks.is_empty() {
        return String::new();
    }
    let mut table =
        String::from("<table class=\"bad\"><tr><th>rule</th><th>at s</th><th>what</th></tr>\n");
    for broken in breaks {
        let at = broken.at as f64 / 1e6;
        let (rule, what) = (broken.rule, escaped(&broken.what));
        table += &format!("<tr><td>{rule}</td><td>{at:.3}</td><td>{what}</td></tr>\n");
    }
    table + "</table>\n"
}
