/** The logger that is passed down to every part, and its implementation over consola. */
import { type ConsolaInstance, createConsola, type LogObject } from "consola/core";

/** Named values that go with a log line. Never request text or keys. */
export type LogFields = Readonly<Record<string, unknown>>;

/** A logger with a label. */
export interface Logger {
    debug(message: string, fields?: LogFields): void;
    info(message: string, fields?: LogFields): void;
    warn(message: string, fields?: LogFields): void;
    error(message: string, fields?: LogFields): void;
    /** One line for each routing or placement decision. */
    decision(decision: DecisionRecord): void;
    withLabel(label: string): Logger;
}

/** What was decided, over what, why, and under which configuration version. */
export interface DecisionRecord {
    readonly kind: string;
    readonly chosen: string;
    readonly over: readonly string[];
    readonly reason: string;
    readonly configurationVersion: number;
    readonly requestId?: string;
    readonly fields?: LogFields;
}

export const LogFormat = { json: "json", pretty: "pretty" } as const;
export type LogFormat = typeof LogFormat[keyof typeof LogFormat];

export const LogLevel = { error: 0, warn: 1, info: 3, debug: 4 } as const;
export type LogLevelName = keyof typeof LogLevel;

/** Writes through consola: JSON lines for production, readable lines on a terminal. */
export class ConsolaLogger implements Logger {
    constructor(private readonly consola: ConsolaInstance, private readonly label: string) {}

    debug(message: string, fields?: LogFields): void {
        this.consola.debug({ message, tag: this.label, fields });
    }

    info(message: string, fields?: LogFields): void {
        this.consola.info({ message, tag: this.label, fields });
    }

    warn(message: string, fields?: LogFields): void {
        this.consola.warn({ message, tag: this.label, fields });
    }

    error(message: string, fields?: LogFields): void {
        this.consola.error({ message, tag: this.label, fields });
    }

    decision(decision: DecisionRecord): void {
        this.consola.info({ message: `decision ${decision.kind}`, tag: this.label, fields: decision });
    }

    withLabel(label: string): Logger {
        return new ConsolaLogger(this.consola, label);
    }
}

/** Drops every line; for tests and benchmarks. */
export class SilentLogger implements Logger {
    debug(): void {}
    info(): void {}
    warn(): void {}
    error(): void {}
    decision(): void {}
    withLabel(): Logger {
        return this;
    }
}

/** A logger that writes to the given output. */
export function createLogger(
    format: LogFormat,
    level: LogLevelName,
    label: string,
    write: (line: string) => void = line => void process.stderr.write(line),
): Logger {
    const formatEntry = format === LogFormat.json ? formatJson : formatPretty;
    const consola = createConsola({
        level: LogLevel[level],
        // Lines that differ only in their fields are no repetitions.
        throttle: 0,
        reporters: [{ log: entry => write(formatEntry(entry)) }],
    });
    return new ConsolaLogger(consola, label);
}

function formatJson(entry: LogObject): string {
    const fields = entry["fields"] as LogFields | undefined;
    return `${
        JSON.stringify({
            time: entry.date.toISOString(),
            level: entry.type,
            label: entry.tag,
            message: entryMessage(entry),
            ...fields,
        })
    }\n`;
}

function formatPretty(entry: LogObject): string {
    const fields = entry["fields"] as LogFields | undefined;
    const details = fields === undefined ? "" : ` ${JSON.stringify(fields)}`;
    return `${entry.date.toISOString().slice(11, 23)} ${entry.type} [${entry.tag}] ${entryMessage(entry)}${details}\n`;
}

function entryMessage(entry: LogObject): string {
    return entry.message ?? entry.args.map(argument => String(argument)).join(" ");
}
