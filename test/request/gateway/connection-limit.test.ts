import { expect, test } from "@jest/globals";
import {
    type ConnectionLimit,
    IdleConnectionLimit,
    NewestConnectionLimit,
} from "../../../src/request/gateway/connection-limit.js";

const maximum = 100;

/** A crowd that leaves its connections open, after a request or before one; returns whether a later caller is served. */
function servesBesideCrowd(limit: ConnectionLimit<string>, crowdSendsRequests: boolean): boolean {
    const open = new Set<string>();
    const add = (name: string) => {
        open.add(name);
        const closing = limit.opened(name);
        if (closing !== undefined) {
            open.delete(closing);
            limit.closed(closing);
        }
    };
    for (let number = 0; number < 2 * maximum; number++) {
        const name = `crowd ${number}`;
        add(name);
        if (crowdSendsRequests && open.has(name)) {
            limit.requestBegun(name);
            limit.requestsEnded(name);
        }
    }
    add("ordinary");
    expect(open.size).toBeLessThanOrEqual(maximum);
    return open.has("ordinary");
}

test.each([true, false])("a caller is served beside connections that were left, after a request: %p", afterRequest => {
    expect(servesBesideCrowd(new NewestConnectionLimit(maximum), afterRequest)).toBe(false);
    expect(servesBesideCrowd(new IdleConnectionLimit(maximum), afterRequest)).toBe(true);
});

test("connections with requests are not closed; the new one is", () => {
    const limit = new IdleConnectionLimit<number>(2);
    [1, 2].forEach(number => {
        limit.opened(number);
        limit.requestBegun(number);
    });
    expect(limit.opened(3)).toBe(3);
    limit.requestsEnded(1);
    expect(limit.opened(4)).toBe(1);
});

test("a crowd without requests takes no place of a kept connection", () => {
    const limit = new IdleConnectionLimit<string>(10);
    limit.opened("kept");
    limit.requestBegun("kept");
    limit.requestsEnded("kept");
    const closed = Array.from({ length: 50 }, (_value, number) => limit.opened(`crowd ${number}`));
    expect(closed).not.toContain("kept");
});
