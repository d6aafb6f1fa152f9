//! Follows a roll-out: as a full screen on a terminal, or as printed lines.

use crate::client::Client;
use crate::{success_body, table, Failure};
use crossterm::event::{self, Event, KeyCode, KeyModifiers};
use ratatui::layout::{Constraint, Layout};
use ratatui::style::{Color, Modifier, Style};
use ratatui::widgets::{Block, Gauge, Paragraph, Row, Table, Wrap};
use ratatui::Frame;
use serde_json::Value;
use std::time::Duration;

const POLL_INTERVAL: Duration = Duration::from_millis(1000);

/// Number of consecutive failed polls that a watch tolerates.
const MAX_FAILED_POLLS: u32 = 30;

/// Returns the state if it is final, which is also the case if there is no roll-out.
fn final_state(body: &Value) -> Option<String> {
    let state = body["state"].as_str().unwrap_or("none");
    matches!(state, "done" | "reverted" | "halted" | "none").then(|| state.to_string())
}

/// Asks once for the status of a service. Reports a failed poll and returns `None`, so that the watch survives
/// restarts of controllers, unless too many polls in a row have failed.
fn poll_status(client: &mut Client, service: &str, failed_polls: &mut u32) -> Result<Option<Value>, Failure> {
    match client.status(service).map_err(Failure::from).and_then(success_body) {
        Ok(body) => {
            *failed_polls = 0;
            Ok(Some(body))
        }
        Err(Failure::Client(error)) if *failed_polls < MAX_FAILED_POLLS => {
            *failed_polls += 1;
            eprintln!("tillerctl: {error}");
            Ok(None)
        }
        Err(failure) => Err(failure),
    }
}

/// Prints a line for each change until the roll-out ends; returns its final state.
pub fn print_changes(client: &mut Client, service: &str, json: bool) -> Result<String, Failure> {
    let (mut failed_polls, mut previous_line) = (0, String::new());
    loop {
        if let Some(body) = poll_status(client, service, &mut failed_polls)? {
            let line = if json { body.to_string() } else { table::headline(&body) };
            if line != previous_line {
                println!("{line}");
                previous_line = line;
            }
            if let Some(state) = final_state(&body) {
                return Ok(state);
            }
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

fn draw(frame: &mut Frame, body: &Value) {
    let areas =
        Layout::vertical([Constraint::Length(4), Constraint::Length(3), Constraint::Min(3), Constraint::Length(1)])
            .split(frame.area());
    let title = Block::bordered().title("roll-out");
    frame.render_widget(Paragraph::new(table::headline(body)).wrap(Wrap { trim: true }).block(title), areas[0]);
    let rollout = &body["rollout"];
    let baked = body["live"]["baked_s"].as_f64().or(rollout["baked_s"].as_f64()).unwrap_or(0.0);
    let bake = rollout["bake_s"].as_f64().unwrap_or(0.0);
    let baked_ratio = if bake > 0.0 { (baked / bake).clamp(0.0, 1.0) } else { 0.0 };
    let title = format!("step {} of {}: {baked:.0} of {bake:.0} s well", rollout["step"], rollout["steps"]);
    frame.render_widget(Gauge::default().block(Block::bordered().title(title)).ratio(baked_ratio), areas[1]);
    let rows = table::replica_rows(body);
    let style = |row: &Vec<String>| {
        let failed = row.last().is_some_and(|last| last.starts_with("failed"));
        Style::default().fg(if failed { Color::Red } else { Color::Reset })
    };
    let columns = rows.first().map_or(1, Vec::len);
    let widths = (0..columns).map(|column| {
        let width = rows.iter().filter_map(|row| row.get(column)).map(|cell| cell.chars().count()).max();
        if column + 1 == columns {
            Constraint::Min(10)
        } else {
            Constraint::Length(width.unwrap_or(5) as u16)
        }
    });
    let body_rows = rows.iter().skip(1).map(|row| Row::new(row.clone()).style(style(row)));
    let header =
        Row::new(rows.first().cloned().unwrap_or_default()).style(Style::default().add_modifier(Modifier::BOLD));
    let table = Table::new(body_rows, widths).header(header).block(Block::bordered().title("replicas"));
    frame.render_widget(table, areas[2]);
    frame.render_widget(Paragraph::new("q: leave"), areas[3]);
}

/// Shows the roll-out on the whole terminal until it ends or the operator leaves the screen.
/// Returns the final state, or `left`.
pub fn show(client: &mut Client, service: &str) -> Result<String, Failure> {
    let mut failed_polls = 0;
    // The first request reports an unknown service before the screen replaces the terminal's contents.
    let mut body = success_body(client.status(service)?)?;
    let mut terminal = ratatui::try_init()?;
    let result = loop {
        if let Err(error) = terminal.draw(|frame| draw(frame, &body)) {
            break Err(error.into());
        }
        if let Some(state) = final_state(&body) {
            break Ok(state);
        }
        match event::poll(POLL_INTERVAL)
            .and_then(|available| if available { event::read().map(Some) } else { Ok(None) })
        {
            Err(error) => break Err(error.into()),
            Ok(Some(Event::Key(key))) => {
                let interrupted = key.code == KeyCode::Char('c') && key.modifiers.contains(KeyModifiers::CONTROL);
                if interrupted || matches!(key.code, KeyCode::Char('q') | KeyCode::Esc) {
                    break Ok("left".to_string());
                }
            }
            Ok(_) => {}
        }
        match client.status(service).map_err(Failure::from).and_then(success_body) {
            Ok(answer) => {
                failed_polls = 0;
                body = answer;
            }
            Err(Failure::Client(_)) if failed_polls < MAX_FAILED_POLLS => failed_polls += 1,
            Err(failure) => break Err(failure),
        }
    };
    ratatui::restore();
    println!("{}", table::headline(&body));
    result
}

#[cfg(test)]
mod tests;
