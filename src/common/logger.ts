/** The logger interface that every component receives, and its implementation with consola. */
import { type ConsolaInstance, createConsola, type LogObject } from "consola/core";

/** Structured fields of a log line. They must not contain request text or keys. */
export type LogFields = Readonly<Record<string, unknown>>;

/** A logger whose lines carry a label. */
export interface Logger {
    debug(message: string, fields?: LogFields): void;
    info(message: string, fields?: LogFields): void;
    warn(message: string, fields?: LogFields): void;
    error(message: string, fields?: LogFields): void;
    /** Logs one routing or placement decision, as one line at level info. */
    decision(decision: DecisionRecord): void;
    withLabel(label: string): Logger;
}

/** A decision with the alternatives considered, the reason, and the configuration version in force. */
export interface DecisionRecord {
    readonly kind: string;
    readonly chosen: string;
    /** IDs of the candidates from which one was chosen; empty if there was no choice. */
    readonly over: readonly string[];
    readonly reason: string;
    readonly configurationVersion: number;
    readonly requestId?: string;
    readonly fields?: LogFields;
}

export const LogFormat = { json: "json", pretty: "pretty" } as const;
export type LogFormat = typeof LogFormat[keyof typeof LogFormat];

/** The levels' numbers in consola. */
export const LogLevel = { error: 0, warn: 1, info: 3, debug: 4 } as const;
export type LogLevelName = keyof typeof LogLevel;

/** Writes through consola, whose reporter formats the lines. */
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

/** Discards every line. Used in tests and benchmarks. */
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

/**
 * Creates a logger that passes each formatted line, newline included, to `write` (by default standard error). The JSON
 * format is for production, the pretty format for terminals.
 */
export function createLogger(
    format: LogFormat,
    level: LogLevelName,
    label: string,
    write: (line: string) => void = line => void process.stderr.write(line),
): Logger {
    const formatEntry = format === LogFormat.json ? formatJson : formatPretty;
    const consola = createConsola({
        level: LogLevel[level],
        // Consola would suppress lines with equal messages as repetitions, although their fields differ.
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
