//! Answers as tables for people.

use serde_json::Value;

fn text(value: &Value) -> String {
    match value {
        Value::Null => "-".into(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

/// Lines up columns, the first row being their names.
pub fn columns(rows: &[Vec<String>]) -> String {
    let width = |at: usize| rows.iter().filter_map(|r| r.get(at)).map(|c| c.chars().count()).max().unwrap_or(0);
    let widths: Vec<usize> = (0..rows.first().map_or(0, Vec::len)).map(width).collect();
    let line = |row: &Vec<String>| {
        let cells: Vec<String> = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}")).collect();
        cells.join("  ").trim_end().to_string() + "\n"
    };
    rows.iter().map(line).collect()
}

/// One line about where a roll-out is.
pub fn headline(service: &Value) -> String {
    let rolling = &service["rollout"];
    let mut line = format!("{}: {}", text(&service["service"]), text(&service["state"]));
    if rolling.is_object() {
        line += &format!(
            ", {} to {}, step {} of {} ({}), ready for {} of {} s, {} of {} s spent",
            text(&rolling["from"]),
            text(&rolling["to"]),
            rolling["step"],
            rolling["steps"],
            text(&rolling["way"]),
            seconds(service, "baked_s"),
            text(&rolling["bake_s"]),
            seconds(service, "spent_s"),
            text(&rolling["deadline_s"]),
        );
    }
    if let Some(reason) = rolling["reason"].as_str() {
        line += &format!("; {reason}");
    }
    line
}

/// Seconds as the driver counts them, or else as they are durable.
fn seconds(service: &Value, field: &str) -> String {
    let live = service["live"][field].as_f64();
    format!("{:.1}", live.or(service["rollout"][field].as_f64()).unwrap_or(0.0))
}

/// Rows about each replica, or each job where nobody sees replicas.
pub fn replica_rows(service: &Value) -> Vec<Vec<String>> {
    let live = service["live"]["replicas"].as_array();
    let head = ["REPLICA", "VERSION", "STATE", "READY", "FAILURES", "HOST", "ZONE", "LAST CHECK"];
    let mut rows = vec![head.map(String::from).to_vec()];
    if let Some(replicas) = live {
        for replica in replicas {
            let last = &replica["last"];
            let last = last[0]
                .as_str()
                .map_or("-".into(), |said| format!("{said} ({:.1} s ago)", last[1].as_f64().unwrap_or(0.0)));
            rows.push(vec![
                format!("{}/{}", text(&replica["job"]), replica["index"]),
                text(&replica["version"]),
                text(&replica["standing"]),
                if replica["ready"] == true { "yes".into() } else { "no".into() },
                text(&replica["failures"]),
                text(&replica["host"]),
                text(&replica["zone"]),
                last,
            ]);
        }
        return rows;
    }
    let mut rows = vec![["JOB", "VERSION", "REPLICAS", "STEP", "ZONE", "RETIRING"].map(String::from).to_vec()];
    for member in service["members"].as_array().into_iter().flatten() {
        let fields = ["job", "version", "replicas", "step", "zone", "retiring"];
        rows.push(fields.map(|field| text(&member[field])).to_vec());
    }
    rows
}

/// Any answer.
pub fn show(body: &Value) -> String {
    if let Some(services) = body["services"].as_array() {
        let mut rows = vec![["SERVICE", "STATE", "TO", "STEP", "OF", "REASON"].map(String::from).to_vec()];
        for service in services {
            let rolling = &service["rollout"];
            rows.push(vec![
                text(&service["service"]),
                text(&service["state"]),
                text(&rolling["to"]),
                text(&rolling["step"]),
                text(&rolling["steps"]),
                text(&rolling["reason"]),
            ]);
        }
        return columns(&rows);
    }
    format!("{}\n{}", headline(body), columns(&replica_rows(body)))
}

#[cfg(test)]
mod tests;
