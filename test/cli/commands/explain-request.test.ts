import { afterAll, beforeAll, expect, jest, test } from "@jest/globals";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { runCommand } from "../run-command.js";

let directory: string;
let file: string;

const line = (second: number, fields: Record<string, unknown>) =>
    `edge-1 ${
        JSON.stringify({ time: `2026-12-04T10:00:${String(second).padStart(2, "0")}.000Z`, level: "info", ...fields })
    }`;

beforeAll(async () => {
    jest.useRealTimers();
    directory = await mkdtemp(join(tmpdir(), "explain-request-"));
    file = join(directory, "edge-1.log");
    await writeFile(
        file,
        [
            line(1, {
                message: "backend server failed; excluded from new requests",
                server: "b",
                reason: "takes no connection",
            }),
            line(2, { kind: "stream-attempt", requestId: "r1", chosen: "a=0-9,b=10-19", reason: "connection broken" }),
            line(2, { kind: "stream-attempt", requestId: "r2", chosen: "c=0-19" }),
            line(3, { message: "engine unreachable; its layers are placed on other engines", server: "b" }),
            // A duplicate: another router logs the same event one second later.
            line(4, { message: "engine unreachable; its layers are placed on other engines", server: "b" }),
            line(3, { message: "engine unreachable; its layers are placed on other engines", server: "c" }),
            line(30, { message: "engine unreachable; its layers are placed on other engines", server: "a" }),
            "not a log line",
        ].join("\n"),
    );
});

afterAll(() => rm(directory, { recursive: true }));

test("shows the request's lines and the lines about its servers at that time, ordered by time", async () => {
    const { output, exitCode } = await runCommand(["explain-request", "r1", file]);
    expect(exitCode).toBe(0);
    const lines = output.trim().split("\n");
    expect(lines).toHaveLength(3);
    expect(lines[0]).toContain("takes no connection");
    expect(lines[1]).toContain("stream-attempt requestId=r1 chosen=a=0-9,b=10-19 reason=connection broken");
    expect(lines[2]).toContain("engine unreachable; its layers are placed on other engines server=b");
});

test("exits with 1 and a message when no line names the request", async () => {
    const { errors, exitCode } = await runCommand(["explain-request", "r9", file]);
    expect(exitCode).toBe(1);
    expect(errors).toContain("No line of 1 file(s) names request r9");
});
