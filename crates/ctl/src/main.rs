//! tillerctl: the operators' command line of tillercleat.
//!
//! Exit codes: 0 done; 1 refused, or the watched roll-out did not end with the new
//! version; 2 invalid input; 3 no controller handled the request, its outcome is
//! unknown, or the terminal failed.

mod client;
mod screen;
mod table;

use clap::{Parser, Subcommand};
use client::{Client, ClientError};
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use tillercleat_rollout::file::RollOut;

/// The operators' command line of tillercleat.
#[derive(Parser)]
#[command(name = "tillerctl", version, about)]
struct Cli {
    /// Addresses of the controllers' operators' listeners, tried in order.
    #[arg(long, env = "TILLERCTL_SERVERS", value_delimiter = ',', default_value = "127.0.0.1:8090", global = true)]
    servers: Vec<SocketAddr>,
    /// Print the JSON of the response.
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Roll out a version of a service in steps.
    #[command(subcommand)]
    Rollout(RolloutCommand),
}

#[derive(Subcommand)]
enum RolloutCommand {
    /// Start the roll-out that a file describes.
    Start { file: PathBuf },
    /// Validate a file without contacting a controller.
    Check { file: PathBuf },
    /// Show one service, or all services.
    Status { service: Option<String> },
    /// Follow a roll-out until it ends.
    Watch {
        service: String,
        /// Print lines even on a terminal.
        #[arg(long)]
        plain: bool,
    },
    /// Pause before the next step; a failed step still reverts.
    Pause { service: String },
    /// Continue after a pause or a halt.
    Resume { service: String },
    /// Stop the roll-out without reverting it.
    Abort { service: String },
    /// Return to the previous version.
    Revert { service: String },
    /// Print the JSON schema of roll-out files.
    Schema,
}

/// Failure of a command; determines the exit code.
#[derive(Debug, thiserror::Error)]
enum Failure {
    #[error("{0}")]
    Input(String),
    #[error("{0}")]
    Refused(String),
    #[error("{0}")]
    Client(#[from] ClientError),
    #[error("{0}")]
    Terminal(#[from] std::io::Error),
}

impl Failure {
    fn exit_code(&self) -> u8 {
        match self {
            Failure::Refused(_) => 1,
            Failure::Input(_) => 2,
            Failure::Client(_) | Failure::Terminal(_) => 3,
        }
    }
}

fn load_rollout(path: &Path) -> Result<RollOut, Failure> {
    let name = path.display();
    let text = std::fs::read_to_string(path).map_err(|e| Failure::Input(format!("cannot read {name}: {e}")))?;
    RollOut::from_toml(&text).map_err(|problems| {
        let lines: Vec<String> = problems.0.iter().map(|p| format!("{name}: {p}")).collect();
        Failure::Input(lines.join("\n"))
    })
}

/// Returns the body of a successful response, or the failure that the response describes.
fn success_body(answer: (u16, Value)) -> Result<Value, Failure> {
    let (status, body) = answer;
    if status < 300 {
        return Ok(body);
    }
    let mut text = body["error"].as_str().unwrap_or("refused").to_string();
    for problem in body["problems"].as_array().into_iter().flatten() {
        text += &format!(
            "\n{}: {}",
            problem["field"].as_str().unwrap_or_default(),
            problem["why"].as_str().unwrap_or_default()
        );
    }
    Err(match status {
        400 => Failure::Input(text),
        503 | 504 => Failure::Client(ClientError::Unconfirmed(text)),
        _ => Failure::Refused(text),
    })
}

fn send_command(client: &mut Client, service: &str, verb: &str) -> Result<Value, Failure> {
    success_body(client.call("POST", &format!("/v1/rollouts/{service}/{verb}"), b"")?)
}

/// Runs the command; returns whether it succeeded.
fn run(cli: &Cli) -> Result<bool, Failure> {
    let Command::Rollout(command) = &cli.command;
    let mut client = Client::new(&cli.servers);
    let body = match command {
        RolloutCommand::Schema => {
            println!("{:#}", tillercleat_rollout::file::schema());
            return Ok(true);
        }
        RolloutCommand::Check { file } => {
            load_rollout(file)?;
            println!("{}: fine", file.display());
            return Ok(true);
        }
        RolloutCommand::Start { file } => {
            let body = serde_json::to_vec(&load_rollout(file)?).map_err(|e| Failure::Input(e.to_string()))?;
            success_body(client.call("POST", "/v1/rollouts", &body)?)?
        }
        RolloutCommand::Status { service: None } => success_body(client.call("GET", "/v1/rollouts", b"")?)?,
        RolloutCommand::Status { service: Some(service) } => {
            client.status(service).map_err(Failure::from).and_then(success_body)?
        }
        RolloutCommand::Watch { service, plain } => return watch(&mut client, service, *plain, cli.json),
        RolloutCommand::Pause { service } => send_command(&mut client, service, "pause")?,
        RolloutCommand::Resume { service } => send_command(&mut client, service, "resume")?,
        RolloutCommand::Abort { service } => send_command(&mut client, service, "abort")?,
        RolloutCommand::Revert { service } => send_command(&mut client, service, "revert")?,
    };
    if cli.json {
        println!("{body}");
    } else {
        print!("{}", table::render(&body));
    }
    Ok(true)
}

/// Follows a roll-out until it ends; returns whether it ended with the new version.
fn watch(client: &mut Client, service: &str, plain: bool, json: bool) -> Result<bool, Failure> {
    use std::io::IsTerminal;
    let end_state = if plain || json || !std::io::stdout().is_terminal() {
        screen::print_changes(client, service, json)?
    } else {
        screen::show(client, service)?
    };
    Ok(end_state == "done")
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    match run(&cli) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(failure) => {
            eprintln!("tillerctl: {failure}");
            ExitCode::from(failure.exit_code())
        }
    }
}
