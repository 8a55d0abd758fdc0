//! The command line's program.

fn main() -> std::process::ExitCode {
    jayhollow::cli::run(jayhollow::dev::run)
}
