/** Execution context of all commands: output, environment, exit codes and the operator interface's address. */
import type { Writable } from "node:stream";
import type { Logger } from "../common/logger.js";

/** Exit codes of every command. */
export const ExitCode = {
    ok: 0,
    /** The command failed or had a negative result, such as faults found, a conflict or a missing confirmation. */
    failure: 1,
    /** The command line is invalid. */
    usage: 2,
    /** The router's operator interface or the platform could not be reached. */
    unreachable: 3,
} as const;
export type ExitCode = typeof ExitCode[keyof typeof ExitCode];

export interface CommandContext {
    readonly output: Writable;
    readonly errorOutput: Writable;
    /** Whether the output may contain colour codes. */
    readonly color: boolean;
    readonly environment: Readonly<Record<string, string | undefined>>;
    readonly logger: Logger;
    /** Sets the exit code of the process; a command never ends the process itself. */
    setExitCode(code: ExitCode): void;
}

/** Environment variables that commands read. */
export const EnvironmentName = {
    /** Base URL of a router's operator interface. */
    operatorAddress: "POMELOSTALL_OPERATOR",
    /** The operators' credential. */
    credential: "POMELOSTALL_CREDENTIAL",
    /** Base URLs of the platform's key-value service, separated by commas. */
    keyValueAddresses: "POMELOSTALL_KEY_VALUE",
} as const;

const defaultOperatorAddress = "http://127.0.0.1:8081";

/** Returns the operator interface's base URL: from the option, else the environment, else the loopback default. */
export function operatorAddress(context: CommandContext, option: string | undefined): string {
    return option ?? context.environment[EnvironmentName.operatorAddress] ?? defaultOperatorAddress;
}
