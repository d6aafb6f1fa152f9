//! The command line.

use clap::{Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;
use tillercleat::settings::{Settings, Tuning};
use tillercleat::transport;
use tillercleat_rollout::settings::Settings as Rollouts;

/// A cluster scheduler that places tasks on machines likely to outlast them.
#[derive(Parser)]
#[command(version, about)]
struct Cli {
    #[command(subcommand)]
    verb: Verb,
}

#[derive(clap::Args)]
struct Files {
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
enum Verb {
    /// Serve until killed; LOG_LEVEL (error, info, debug) sets what is logged.
    Run(Files),
    /// Check the settings and end.
    Check(Files),
}

impl Files {
    fn load(&self) -> Result<(Settings, Tuning, Option<Rollouts>), Box<dyn std::error::Error>> {
        let tuning = self.tuning.as_deref().map_or(Ok(Tuning::default()), Tuning::load)?;
        let rollouts = self.rollout.as_deref().map(Rollouts::load).transpose()?;
        Ok((Settings::load(&self.config)?, tuning, rollouts))
    }
}

/// Few arenas, given back early: the memory limit is tight.
fn tame_allocator() {
    #[cfg(target_env = "gnu")]
    // SAFETY: called before any thread is started; mallopt only sets numbers.
    unsafe {
        libc::mallopt(libc::M_ARENA_MAX, 1);
        libc::mallopt(libc::M_MMAP_THRESHOLD, 128 * 1024);
        libc::mallopt(libc::M_TRIM_THRESHOLD, 256 * 1024);
    }
}

fn start_log() {
    let level = std::env::var("LOG_LEVEL").ok().and_then(|l| l.parse().ok()).unwrap_or(tracing::Level::ERROR);
    tracing_subscriber::fmt().with_max_level(level).with_writer(std::io::stderr).with_ansi(false).without_time().init();
}

fn main() -> ExitCode {
    tame_allocator();
    let cli = Cli::parse();
    start_log();
    let (files, run) = match &cli.verb {
        Verb::Run(files) => (files, true),
        Verb::Check(files) => (files, false),
    };
    let (settings, tuning, rollouts) = match files.load() {
        Ok(loaded) => loaded,
        Err(error) => {
            eprintln!("tillercleat: {error}");
            return ExitCode::from(2);
        }
    };
    if let Err(error) = transport::resource_budget(&settings, &tuning, rollouts.as_ref()) {
        eprintln!("tillercleat: {}: {error}", files.config.display());
        return ExitCode::from(2);
    }
    if !run {
        println!("{}: settings are fine", files.config.display());
        return ExitCode::SUCCESS;
    }
    match transport::run(settings, tuning, rollouts) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("tillercleat: {error}");
            ExitCode::FAILURE
        }
    }
}
