import { expect, jest, test } from "@jest/globals";
import { LineWriter } from "../../src/common/line-writer.js";

/** A descriptor whose writes end when the test says so. */
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

test("one write is under way at a time, and lines that wait go out together", () => {
    const descriptor = new SlowDescriptor();
    const writer = new LineWriter(1, descriptor.write);
    ["a\n", "b\n", "c\n"].forEach(line => writer.write(line));
    expect(descriptor.texts).toEqual(["a\n"]);
    descriptor.finish();
    expect(descriptor.texts).toEqual(["a\n", "b\nc\n"]);
});

test("a reader that has stopped costs bounded memory; what is dropped is counted and said", () => {
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

test("the rate of lines is bounded", () => {
    const writer = new LineWriter(1, (_descriptor, _text, done) => done(null));
    for (let count = 0; count < 3_000; count++) {
        writer.write("line\n");
    }
    expect(writer.droppedLines).toBe(1_000);
    jest.advanceTimersByTime(1_000);
    writer.write("line\n");
    expect(writer.droppedLines).toBe(1_000);
});
