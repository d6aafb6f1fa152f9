//! Formats responses as plain-text tables.

use serde_json::Value;

/// Formats a string without quotes, `null` as `-`, and any other value as JSON.
fn display(value: &Value) -> String {
    match value {
        Value::Null => "-".into(),
        Value::String(string) => string.clone(),
        other => other.to_string(),
    }
}

/// Aligns the cells of all rows in columns. The first row is the header and sets the number of columns.
pub fn align_columns(rows: &[Vec<String>]) -> String {
    let width = |column: usize| rows.iter().filter_map(|r| r.get(column)).map(|c| c.chars().count()).max().unwrap_or(0);
    let widths: Vec<usize> = (0..rows.first().map_or(0, Vec::len)).map(width).collect();
    let line = |row: &Vec<String>| {
        let cells: Vec<String> = row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}")).collect();
        cells.join("  ").trim_end().to_string() + "\n"
    };
    rows.iter().map(line).collect()
}

/// Returns one line with the state of a service and the progress of its roll-out.
pub fn headline(service: &Value) -> String {
    let rollout = &service["rollout"];
    let mut line = format!("{}: {}", display(&service["service"]), display(&service["state"]));
    if rollout.is_object() {
        line += &format!(
            ", {} to {}, step {} of {} ({}), ready for {} of {} s, {} of {} s spent",
            display(&rollout["from"]),
            display(&rollout["to"]),
            rollout["step"],
            rollout["steps"],
            display(&rollout["way"]),
            seconds(service, "baked_s"),
            display(&rollout["bake_s"]),
            seconds(service, "spent_s"),
            display(&rollout["deadline_s"]),
        );
    }
    if let Some(reason) = rollout["reason"].as_str() {
        line += &format!("; {reason}");
    }
    line
}

/// Formats a duration in seconds: the driver's live value, or else the recorded one.
fn seconds(service: &Value, field: &str) -> String {
    let live = service["live"][field].as_f64();
    format!("{:.1}", live.or(service["rollout"][field].as_f64()).unwrap_or(0.0))
}

/// Returns a header and a row per replica, or per job if there are no live observations of replicas.
pub fn replica_rows(service: &Value) -> Vec<Vec<String>> {
    let live = service["live"]["replicas"].as_array();
    let header = ["REPLICA", "VERSION", "STATE", "READY", "FAILURES", "HOST", "ZONE", "LAST CHECK"];
    let mut rows = vec![header.map(String::from).to_vec()];
    if let Some(replicas) = live {
        for replica in replicas {
            let last = &replica["last"];
            let last = last[0]
                .as_str()
                .map_or("-".into(), |result| format!("{result} ({:.1} s ago)", last[1].as_f64().unwrap_or(0.0)));
            rows.push(vec![
                format!("{}/{}", display(&replica["job"]), replica["index"]),
                display(&replica["version"]),
                display(&replica["standing"]),
                if replica["ready"] == true { "yes".into() } else { "no".into() },
                display(&replica["failures"]),
                display(&replica["host"]),
                display(&replica["zone"]),
                last,
            ]);
        }
        return rows;
    }
    let mut rows = vec![["JOB", "VERSION", "REPLICAS", "STEP", "ZONE", "RETIRING"].map(String::from).to_vec()];
    for member in service["members"].as_array().into_iter().flatten() {
        let fields = ["job", "version", "replicas", "step", "zone", "retiring"];
        rows.push(fields.map(|field| display(&member[field])).to_vec());
    }
    rows
}

/// Formats the response to any command: a list of services, or one service.
pub fn render(body: &Value) -> String {
    if let Some(services) = body["services"].as_array() {
        let mut rows = vec![["SERVICE", "STATE", "TO", "STEP", "OF", "REASON"].map(String::from).to_vec()];
        for service in services {
            let rollout = &service["rollout"];
            rows.push(vec![
                display(&service["service"]),
                display(&service["state"]),
                display(&rollout["to"]),
                display(&rollout["step"]),
                display(&rollout["steps"]),
                display(&rollout["reason"]),
            ]);
        }
        return align_columns(&rows);
    }
    format!("{}\n{}", headline(body), align_columns(&replica_rows(body)))
}

#[cfg(test)]
mod tests;
