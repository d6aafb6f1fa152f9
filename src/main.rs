//! The command line: reads the settings files, then runs the controller or says what is wrong with them.

use clap::{Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;
use tillercleat::settings::{Settings, SettingsError, Tuning};
use tillercleat::transport::{self, BudgetError, Resource};
use tillercleat_rollout::settings::{Settings as RolloutSettings, SettingsError as RolloutSettingsError};

/// Exit status if the settings cannot be used; 1 is for a controller that could not start.
const BAD_SETTINGS: u8 = 2;

/// A cluster scheduler that places tasks on machines likely to outlast them.
#[derive(Parser)]
#[command(version, about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(clap::Args)]
struct SettingsFiles {
    /// The operators' own settings (TOML).
    #[arg(long, value_name = "FILE")]
    tuning: Option<PathBuf>,
    /// Turns roll-outs on, with these settings (TOML).
    #[arg(long, value_name = "FILE")]
    rollout: Option<PathBuf>,
    /// The platform's settings file (JSON).
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
}

#[derive(Subcommand)]
enum Command {
    /// Serve until killed; LOG_LEVEL (error, warn, info, debug) sets what is logged.
    Run(SettingsFiles),
    /// Check the settings and end.
    Check(SettingsFiles),
}

/// All settings of a controller, read and checked.
struct LoadedSettings {
    platform: Settings,
    operators: Tuning,
    /// None: roll-outs are off.
    rollouts: Option<RolloutSettings>,
}

/// Why the settings cannot be used.
#[derive(Debug, thiserror::Error)]
enum LoadError {
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error(transparent)]
    Rollouts(#[from] RolloutSettingsError),
    #[error("{place}: {source}")]
    Budget { place: String, source: BudgetError },
}

impl SettingsFiles {
    /// Reads and checks all files.
    fn load(&self) -> Result<LoadedSettings, LoadError> {
        let operators = self.tuning.as_deref().map_or(Ok(Tuning::default()), Tuning::load)?;
        let rollouts = self.rollout.as_deref().map(RolloutSettings::load).transpose()?;
        let platform = Settings::load(&self.config)?;
        transport::resource_budget(&platform, &operators, rollouts.as_ref())
            .map_err(|source| LoadError::Budget { place: self.place_of(source), source })?;
        Ok(LoadedSettings { platform, operators, rollouts })
    }

    /// The file and field of the limit that is too low.
    fn place_of(&self, error: BudgetError) -> String {
        let BudgetError::LimitTooLow { resource, .. } = error;
        match (resource, &self.tuning) {
            (Resource::Sockets, _) => format!("{}: cluster.quota.fd_limit", self.config.display()),
            (Resource::Threads, Some(tuning)) => format!("{}: threads", tuning.display()),
            (Resource::Threads, None) => "default of the operators' setting threads".into(),
        }
    }
}

/// One arena, and memory given back early: the platform's memory limit is tight.
fn limit_allocator_memory() {
    #[cfg(target_env = "gnu")]
    // SAFETY: called before any thread is started; mallopt only sets numbers.
    unsafe {
        libc::mallopt(libc::M_ARENA_MAX, 1);
        libc::mallopt(libc::M_MMAP_THRESHOLD, 128 * 1024);
        libc::mallopt(libc::M_TRIM_THRESHOLD, 256 * 1024);
    }
}

/// Logs to standard error. An absent or unknown LOG_LEVEL means errors only.
fn start_logging() {
    let level = std::env::var("LOG_LEVEL").ok().and_then(|level| level.parse().ok()).unwrap_or(tracing::Level::ERROR);
    tracing_subscriber::fmt().with_max_level(level).with_writer(std::io::stderr).with_ansi(false).without_time().init();
}

fn check(files: &SettingsFiles) -> ExitCode {
    match files.load() {
        Ok(_) => {
            println!("{}: settings are fine", files.config.display());
            ExitCode::SUCCESS
        }
        Err(error) => report(&error, ExitCode::from(BAD_SETTINGS)),
    }
}

fn run(files: &SettingsFiles) -> ExitCode {
    let settings = match files.load() {
        Ok(settings) => settings,
        Err(error) => return report(&error, ExitCode::from(BAD_SETTINGS)),
    };
    match transport::run(settings.platform, settings.operators, settings.rollouts) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => report(&error, ExitCode::FAILURE),
    }
}

/// Ends the program with one line on standard error.
fn report(error: &dyn std::error::Error, exit_code: ExitCode) -> ExitCode {
    eprintln!("tillercleat: {error}");
    exit_code
}

fn main() -> ExitCode {
    limit_allocator_memory();
    let cli = Cli::parse();
    start_logging();
    match &cli.command {
        Command::Run(files) => run(files),
        Command::Check(files) => check(files),
    }
}
