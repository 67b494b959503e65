import { describe, expect, test } from "@jest/globals";
import fastCheck from "fast-check";
import { FairQueue } from "../../../src/process/customer-shares/fair-queue.js";

const entry = (customer: string, weight: number, tokens: number, priority = 0) => ({
    customer,
    weight,
    tokens,
    priority,
});

describe("FairQueue", () => {
    test("serves backlogged customers in proportion to their weights, regardless of entry sizes", () => {
        const sizes = fastCheck.array(fastCheck.integer({ min: 1, max: 500 }), { minLength: 200, maxLength: 200 });
        const weights = fastCheck.tuple(fastCheck.integer({ min: 1, max: 9 }), fastCheck.integer({ min: 1, max: 9 }));
        fastCheck.assert(
            fastCheck.property(weights, sizes, sizes, ([leftWeight, rightWeight], left, right) => {
                const queue = new FairQueue();
                left.forEach(tokens => queue.push(entry("left", leftWeight, tokens)));
                right.forEach(tokens => queue.push(entry("right", rightWeight, tokens)));
                const served = { left: 0, right: 0 };
                while (queue.lengthOf("left") > 0 && queue.lengthOf("right") > 0) {
                    const next = queue.shift()!;
                    served[next.customer as "left" | "right"] += next.tokens;
                    const lag = Math.abs(served.left / leftWeight - served.right / rightWeight);
                    expect(lag).toBeLessThanOrEqual(500 / leftWeight + 500 / rightWeight);
                }
            }),
            { seed: 4, numRuns: 100 },
        );
    });

    test("gives no credit for idle time, and keeps the virtual start time of a customer whose queue empties", () => {
        const queue = new FairQueue();
        for (let index = 0; index < 10; index++) {
            queue.push(entry("busy", 1, 100));
        }
        queue.shift();
        queue.shift();
        queue.push(entry("late", 1, 100));
        queue.push(entry("late", 1, 100));
        expect([queue.shift(), queue.shift(), queue.shift()].map(next => next!.customer))
            .toEqual(["late", "busy", "late"]);
        queue.push(entry("late", 1, 100));
        expect(queue.shift()!.customer).toBe("busy");
    });

    test("lets a customer that used less than its share catch up by the credit, and no further", () => {
        const queue = new FairQueue();
        for (let index = 0; index < 20; index++) {
            queue.push(entry("busy", 1, 100));
        }
        for (let index = 0; index < 10; index++) {
            queue.shift();
        }
        for (let index = 0; index < 10; index++) {
            queue.push(entry("late", 1, 100), 300);
        }
        const order = Array.from({ length: 8 }, () => queue.shift()!.customer);
        expect(order.filter(customer => customer === "late").length).toBeGreaterThanOrEqual(5);
        expect(order.filter(customer => customer === "late").length).toBeLessThanOrEqual(6);
    });

    test("charges for tokens beyond the estimate, and serves lower priority numbers first", () => {
        const queue = new FairQueue();
        queue.push(entry("a", 1, 10, 5));
        queue.push(entry("a", 1, 10, 1));
        queue.push(entry("b", 1, 10));
        queue.charge("a", 1, 100);
        expect(queue.shift()!.customer).toBe("b");
        expect(queue.shift()!.priority).toBe(1);
        expect(queue.size).toBe(1);
    });
});
