//! A roll-out as it goes: a screen on a terminal, lines elsewhere.

use crate::client::Client;
use crate::{good, table, Failure};
use crossterm::event::{self, Event, KeyCode, KeyModifiers};
use ratatui::layout::{Constraint, Layout};
use ratatui::style::{Color, Modifier, Style};
use ratatui::widgets::{Block, Gauge, Paragraph, Row, Table, Wrap};
use ratatui::Frame;
use serde_json::Value;
use std::time::Duration;

const EVERY: Duration = Duration::from_millis(1000);

/// Questions in a row without an answer before a watch gives up.
const PATIENCE: u32 = 30;

/// The state in which a roll-out has ended, if it has.
fn ended(body: &Value) -> Option<String> {
    let state = body["state"].as_str().unwrap_or("none");
    matches!(state, "done" | "reverted" | "halted" | "none").then(|| state.to_string())
}

/// Asks until there is an answer, through restarts of controllers.
fn ask(client: &mut Client, service: &str, misses: &mut u32) -> Result<Option<Value>, Failure> {
    match client.status(service).map_err(Failure::from).and_then(good) {
        Ok(body) => {
            *misses = 0;
            Ok(Some(body))
        }
        Err(Failure::Client(error)) if *misses < PATIENCE => {
            *misses += 1;
            eprintln!("tillerctl: {error}");
            Ok(None)
        }
        Err(failure) => Err(failure),
    }
}

/// Prints a line whenever something changes; the state it ended in.
pub fn lines(client: &mut Client, service: &str, json: bool) -> Result<String, Failure> {
    let (mut misses, mut before) = (0, String::new());
    loop {
        if let Some(body) = ask(client, service, &mut misses)? {
            let line = if json { body.to_string() } else { table::headline(&body) };
            if line != before {
                println!("{line}");
                before = line;
            }
            if let Some(end) = ended(&body) {
                return Ok(end);
            }
        }
        std::thread::sleep(EVERY);
    }
}

fn draw(frame: &mut Frame, body: &Value) {
    let areas =
        Layout::vertical([Constraint::Length(4), Constraint::Length(3), Constraint::Min(3), Constraint::Length(1)])
            .split(frame.area());
    let title = Block::bordered().title("roll-out");
    frame.render_widget(Paragraph::new(table::headline(body)).wrap(Wrap { trim: true }).block(title), areas[0]);
    let rolling = &body["rollout"];
    let baked = body["live"]["baked_s"].as_f64().or(rolling["baked_s"].as_f64()).unwrap_or(0.0);
    let bake = rolling["bake_s"].as_f64().unwrap_or(0.0);
    let share = if bake > 0.0 { (baked / bake).clamp(0.0, 1.0) } else { 0.0 };
    let title = format!("step {} of {}: {baked:.0} of {bake:.0} s well", rolling["step"], rolling["steps"]);
    frame.render_widget(Gauge::default().block(Block::bordered().title(title)).ratio(share), areas[1]);
    let rows = table::replica_rows(body);
    let style = |row: &Vec<String>| {
        let failed = row.last().is_some_and(|last| last.starts_with("failed"));
        Style::default().fg(if failed { Color::Red } else { Color::Reset })
    };
    let count = rows.first().map_or(1, Vec::len);
    let widths = (0..count).map(|at| {
        let width = rows.iter().filter_map(|row| row.get(at)).map(|cell| cell.chars().count()).max();
        if at + 1 == count {
            Constraint::Min(10)
        } else {
            Constraint::Length(width.unwrap_or(5) as u16)
        }
    });
    let body_rows = rows.iter().skip(1).map(|row| Row::new(row.clone()).style(style(row)));
    let head = Row::new(rows.first().cloned().unwrap_or_default()).style(Style::default().add_modifier(Modifier::BOLD));
    let table = Table::new(body_rows, widths).header(head).block(Block::bordered().title("replicas"));
    frame.render_widget(table, areas[2]);
    frame.render_widget(Paragraph::new("q: leave"), areas[3]);
}

/// Shows a screen until the roll-out ends or somebody leaves it; the state then.
pub fn live(client: &mut Client, service: &str) -> Result<String, Failure> {
    let mut misses = 0;
    // A mistake in the name is said before the screen is taken.
    let mut body = good(client.status(service)?)?;
    let mut terminal = ratatui::try_init()?;
    let end = loop {
        if let Err(error) = terminal.draw(|frame| draw(frame, &body)) {
            break Err(error.into());
        }
        if let Some(end) = ended(&body) {
            break Ok(end);
        }
        match event::poll(EVERY).and_then(|there| if there { event::read().map(Some) } else { Ok(None) }) {
            Err(error) => break Err(error.into()),
            Ok(Some(Event::Key(key))) => {
                let interrupted = key.code == KeyCode::Char('c') && key.modifiers.contains(KeyModifiers::CONTROL);
                if interrupted || matches!(key.code, KeyCode::Char('q') | KeyCode::Esc) {
                    break Ok("left".to_string());
                }
            }
            Ok(_) => {}
        }
        match client.status(service).map_err(Failure::from).and_then(good) {
            Ok(answer) => {
                misses = 0;
                body = answer;
            }
            Err(Failure::Client(_)) if misses < PATIENCE => misses += 1,
            Err(failure) => break Err(failure),
        }
    };
    ratatui::restore();
    println!("{}", table::headline(&body));
    end
}

#[cfg(test)]
mod tests;
