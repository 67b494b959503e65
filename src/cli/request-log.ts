/** Finds the lines of structured logs that explain one request. */

export interface LogLine {
    /** File, and what stands before the JSON in it, such as a router's name. */
    readonly source: string;
    readonly fields: Readonly<Record<string, unknown>>;
}

/** Lines about a server count from this long before the request's first line to this long after its last. */
const aroundMilliseconds = 5_000;
const serverIdPattern = /[\w.-]+(?==)|^[\w.-]+$/g;

/** Lines that hold no JSON object are passed over. */
export function parseLogLines(text: string, file: string): LogLine[] {
    return text.split("\n").flatMap(line => {
        const start = line.indexOf("{");
        const fields = start === -1 ? undefined : parseObject(line.slice(start));
        return fields === undefined ? [] : [{ source: `${file}:${line.slice(0, start).trim()}`, fields }];
    });
}

/** Lines that name the request, and lines at that time about the servers that it was sent to; in order of time. */
export function collectRequestLines(lines: readonly LogLine[], requestId: string): LogLine[] {
    const own = lines.filter(({ fields }) => fields["requestId"] === requestId);
    const servers = new Set(own.flatMap(({ fields }) => serverIds(fields["chosen"])));
    const times = own.map(timeOf);
    const from = Math.min(...times) - aroundMilliseconds;
    const until = Math.max(...times) + aroundMilliseconds;
    const others = lines.filter(line => {
        const server = line.fields["server"];
        return typeof server === "string" && servers.has(server) && timeOf(line) >= from && timeOf(line) <= until;
    });
    return [...own, ...firstOfEach(others)].sort((left, right) => timeOf(left) - timeOf(right));
}

/** Every router logs what it learns of a server; the first of lines that say the same is enough. */
function firstOfEach(lines: readonly LogLine[]): LogLine[] {
    const seen = new Set<string>();
    return [...lines].sort((left, right) => timeOf(left) - timeOf(right)).filter(({ fields }) => {
        const content = JSON.stringify({ ...fields, time: undefined });
        const isNew = !seen.has(content);
        seen.add(content);
        return isNew;
    });
}

function serverIds(chosen: unknown): string[] {
    return typeof chosen === "string" ? chosen.split(",").flatMap(part => part.match(serverIdPattern) ?? []) : [];
}

function timeOf({ fields }: LogLine): number {
    return Date.parse(String(fields["time"]));
}

function parseObject(text: string): Record<string, unknown> | undefined {
    try {
        return JSON.parse(text) as Record<string, unknown>;
    }
    catch {
        // Other programs write to the same output; their lines are not ours to explain.
        return undefined;
    }
}
