import { expect, jest, test } from "@jest/globals";
import { LineWriter } from "../../src/common/line-writer.js";

/** A file descriptor whose writes complete when the test calls `finish`. */
class SlowDescriptor {
    readonly texts: string[] = [];
    private pending: ((error: Error | null) => void) | undefined;

    readonly write = (_descriptor: number, text: string, done: (error: Error | null) => void): void => {
        this.texts.push(text);
        this.pending = done;
    };

    finish(): void {
        const { pending } = this;
        this.pending = undefined;
        pending?.(null);
    }
}

test("only one write is in progress at a time, and buffered lines are written together", () => {
    const descriptor = new SlowDescriptor();
    const writer = new LineWriter(1, descriptor.write);
    ["a\n", "b\n", "c\n"].forEach(line => writer.write(line));
    expect(descriptor.texts).toEqual(["a\n"]);
    descriptor.finish();
    expect(descriptor.texts).toEqual(["a\n", "b\nc\n"]);
});

test("the buffer is bounded when the reader stops, and the number of dropped lines is logged", () => {
    const descriptor = new SlowDescriptor();
    const writer = new LineWriter(1, descriptor.write);
    const line = `${"x".repeat(9_999)}\n`;
    for (let count = 0; count < 200; count++) {
        writer.write(line);
    }
    expect(writer.droppedLines).toBe(99);
    descriptor.finish();
    expect(descriptor.texts[1]).toContain('"lines":99');
});

test("lines over the rate limit are dropped", () => {
    const writer = new LineWriter(1, (_descriptor, _text, done) => done(null));
    for (let count = 0; count < 3_000; count++) {
        writer.write("line\n");
    }
    expect(writer.droppedLines).toBe(1_000);
    jest.advanceTimersByTime(1_000);
    writer.write("line\n");
    expect(writer.droppedLines).toBe(1_000);
});
