//! Plot (one day as SVG, written by hand): each machine a lane with its troubles and leads, changes and what was
//! served below.

use std::fmt::Write as _;

use types::{Micros, SECOND};

use crate::play::Day;
use crate::seen::{Answer, What};

const LEFT: f64 = 70.0;
const WIDTH: f64 = 1_000.0;
const LANE: f64 = 16.0;
const SERVED: f64 = 120.0;
/// Width of a bar of what was served.
const EVERY: Micros = SECOND / 2;

pub fn day(day: &Day) -> String {
    let end = day.scenario.end().max(1);
    let x = |at: Micros| LEFT + WIDTH * at as f64 / end as f64;
    let lanes = day.log.iter().filter_map(|seen| match seen.what {
        What::Harmed { machine, .. } => Some(machine + 1),
        _ => None,
    });
    let lanes = lanes.max().unwrap_or(0).max(day.scenario.machines());
    let top = 40.0;
    let ops = top + LANE * lanes as f64 + 8.0;
    let (base, height) = (ops + 24.0 + SERVED, ops + 60.0 + SERVED);
    let mut svg = format!(
        "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"{:.0}\" height=\"{height:.0}\" \
         font-family=\"sans-serif\" font-size=\"10\">\n<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n\
         <text x=\"{LEFT}\" y=\"16\" font-size=\"12\">{}</text>\n",
        LEFT + WIDTH + 20.0,
        escaped(&day.line()),
    );
    let mut put = |text: String| svg.push_str(&text);
    for machine in 0..lanes {
        let y = top + LANE * machine as f64;
        let name = if machine < day.scenario.prompters || machine >= day.scenario.machines() {
            "core"
        } else {
            "foyer"
        };
        put(format!("<text x=\"4\" y=\"{:.1}\">{machine} {name}</text>\n", y + 11.0));
        let line = "stroke=\"#ddd\"";
        let y = y + LANE - 1.0;
        put(format!("<line x1=\"{LEFT}\" y1=\"{y}\" x2=\"{}\" y2=\"{y}\" {line}/>\n", LEFT + WIDTH));
    }
    for seen in &day.log {
        match seen.what {
            What::Harmed { machine, until } => {
                let wide = (x(until.min(end)) - x(seen.at)).max(2.0);
                let (x, y) = (x(seen.at), top + LANE * machine as f64 + 2.0);
                put(format!(
                    "<rect x=\"{x:.1}\" y=\"{y:.1}\" width=\"{wide:.1}\" height=\"{}\" fill=\"#e88\" \
                     fill-opacity=\"0.6\"/>\n",
                    LANE - 5.0
                ));
            }
            What::Leads { machine, term, .. } => {
                let (x, y) = (x(seen.at), top + LANE * machine as f64 + 11.0);
                put(format!("<text x=\"{x:.1}\" y=\"{y:.1}\" fill=\"#039\">▶{term}</text>\n"));
            }
            What::Acked { order, .. } => {
                let at = x(seen.at);
                put(format!("<text x=\"{at:.1}\" y=\"{:.1}\" fill=\"#080\">✓{order}</text>\n", ops + 10.0));
            }
            What::Calm => {
                let at = x(seen.at);
                let dash = "stroke=\"#080\" stroke-dasharray=\"3 3\"";
                put(format!("<line x1=\"{at:.1}\" y1=\"{top}\" x2=\"{at:.1}\" y2=\"{base:.1}\" {dash}/>\n"));
            }
            _ => {}
        }
    }
    put(served(day, end, base));
    for broken in &day.broken {
        let at = x(broken.at);
        put(format!(
            "<line x1=\"{at:.1}\" y1=\"{top}\" x2=\"{at:.1}\" y2=\"{base:.1}\" stroke=\"#c00\"/>\n\
             <text x=\"{at:.1}\" y=\"{:.1}\" fill=\"#c00\">{:?}</text>\n",
            top - 6.0,
            broken.rule
        ));
    }
    for second in (0..=end / SECOND).step_by(5) {
        put(format!("<text x=\"{:.1}\" y=\"{:.1}\">{second} s</text>\n", x(second * SECOND), base + 14.0));
    }
    put(format!("<text x=\"4\" y=\"{:.1}\">served</text>\n</svg>\n", base - SERVED / 2.0));
    svg
}

/// Of the tries that ended in each half second: served green, turned back yellow, the rest red.
fn served(day: &Day, end: Micros, base: f64) -> String {
    let mut bars = vec![[0.0; 3]; (end / EVERY + 1) as usize];
    for seen in &day.log {
        if let What::Answered { answer, .. } = seen.what {
            let kind = match answer {
                Answer::Good => 0,
                Answer::Promise => 1,
                _ => 2,
            };
            bars[(seen.at / EVERY) as usize][kind] += 1.0;
        }
    }
    let most = bars.iter().map(|bar| bar.iter().sum::<f64>()).fold(1.0, f64::max);
    let wide = WIDTH * EVERY as f64 / end as f64;
    let mut svg = String::new();
    for (number, bar) in bars.iter().enumerate() {
        let mut y = base;
        for (count, color) in bar.iter().zip(["#7b7", "#dc6", "#d55"]) {
            let high = SERVED * count / most;
            y -= high;
            let x = LEFT + wide * number as f64;
            let _ = writeln!(
                svg,
                "<rect x=\"{x:.1}\" y=\"{y:.1}\" width=\"{wide:.1}\" height=\"{high:.1}\" fill=\"{color}\"/>"
            );
        }
    }
    svg
}

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;")
}
