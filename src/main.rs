//! Command line: loads the settings files and runs the controller, or reports an error in the settings.

use clap::{Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;
use tillercleat::settings::{Settings, SettingsError, Tuning};
use tillercleat::transport::{self, BudgetError, Resource};
use tillercleat_rollout::settings::{Settings as RolloutSettings, SettingsError as RolloutSettingsError};

/// Exit status for invalid settings. Status 1 means that the controller could not start.
const INVALID_SETTINGS_STATUS: u8 = 2;

/// A cluster scheduler that places tasks on machines likely to outlast them.
#[derive(Parser)]
#[command(version, about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(clap::Args)]
struct SettingsFiles {
    /// Operators' settings (TOML); defaults apply if absent.
    #[arg(long, value_name = "FILE")]
    tuning: Option<PathBuf>,
    /// Settings of roll-outs (TOML); roll-outs are disabled if absent.
    #[arg(long, value_name = "FILE")]
    rollout: Option<PathBuf>,
    /// Platform settings (JSON).
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
}

#[derive(Subcommand)]
enum Command {
    /// Run the controller until it is killed; LOG_LEVEL (error, warn, info, debug) sets the log level.
    Run(SettingsFiles),
    /// Validate the settings and exit.
    Check(SettingsFiles),
}

/// All settings of a controller, validated.
struct LoadedSettings {
    platform: Settings,
    operators: Tuning,
    /// `None` if roll-outs are disabled.
    rollouts: Option<RolloutSettings>,
}

/// Error while loading the settings.
#[derive(Debug, thiserror::Error)]
enum LoadError {
    #[error(transparent)]
    Settings(#[from] SettingsError),
    #[error(transparent)]
    Rollouts(#[from] RolloutSettingsError),
    #[error("{location}: {source}")]
    Budget { location: String, source: BudgetError },
}

impl SettingsFiles {
    /// Loads and validates all files, and checks that the process limits suffice.
    fn load(&self) -> Result<LoadedSettings, LoadError> {
        let operators = self.tuning.as_deref().map_or(Ok(Tuning::default()), Tuning::load)?;
        let rollouts = self.rollout.as_deref().map(RolloutSettings::load).transpose()?;
        let platform = Settings::load(&self.config)?;
        transport::resource_budget(&platform, &operators, rollouts.as_ref())
            .map_err(|source| LoadError::Budget { location: self.limit_location(source), source })?;
        Ok(LoadedSettings { platform, operators, rollouts })
    }

    /// Returns the file and field of the limit that is too low.
    fn limit_location(&self, error: BudgetError) -> String {
        let BudgetError::LimitTooLow { resource, .. } = error;
        match (resource, &self.tuning) {
            (Resource::Sockets, _) => format!("{}: cluster.quota.fd_limit", self.config.display()),
            (Resource::Threads, Some(tuning)) => format!("{}: threads", tuning.display()),
            (Resource::Threads, None) => "default of the operators' setting threads".into(),
        }
    }
}

/// Restricts the allocator to one arena and makes it return free memory early, because the platform's memory limit is
/// low.
fn limit_allocator_memory() {
    #[cfg(target_env = "gnu")]
    // SAFETY: no other thread has been started yet, and mallopt only sets numeric parameters.
    unsafe {
        libc::mallopt(libc::M_ARENA_MAX, 1);
        libc::mallopt(libc::M_MMAP_THRESHOLD, 128 * 1024);
        libc::mallopt(libc::M_TRIM_THRESHOLD, 256 * 1024);
    }
}

/// Sets up logging to standard error. Logs only errors if LOG_LEVEL is absent or invalid.
fn init_logging() {
    let level = std::env::var("LOG_LEVEL").ok().and_then(|level| level.parse().ok()).unwrap_or(tracing::Level::ERROR);
    tracing_subscriber::fmt().with_max_level(level).with_writer(std::io::stderr).with_ansi(false).without_time().init();
}

fn check(files: &SettingsFiles) -> ExitCode {
    match files.load() {
        Ok(_) => {
            println!("{}: settings are fine", files.config.display());
            ExitCode::SUCCESS
        }
        Err(error) => report_error(&error, ExitCode::from(INVALID_SETTINGS_STATUS)),
    }
}

fn run(files: &SettingsFiles) -> ExitCode {
    let settings = match files.load() {
        Ok(settings) => settings,
        Err(error) => return report_error(&error, ExitCode::from(INVALID_SETTINGS_STATUS)),
    };
    match transport::run(settings.platform, settings.operators, settings.rollouts) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => report_error(&error, ExitCode::FAILURE),
    }
}

/// Prints the error as one line on standard error and returns the exit code.
fn report_error(error: &dyn std::error::Error, exit_code: ExitCode) -> ExitCode {
    eprintln!("tillercleat: {error}");
    exit_code
}

fn main() -> ExitCode {
    limit_allocator_memory();
    let cli = Cli::parse();
    init_logging();
    match &cli.command {
        Command::Run(files) => run(files),
        Command::Check(files) => check(files),
    }
}
