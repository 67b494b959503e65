import { describe, expect, jest, test } from "@jest/globals";
import { SilentLogger } from "../../../src/common/logger.js";
import { DrainController } from "../../../src/process/drain/drain-controller.js";

const options = { balancerDelayMilliseconds: 2000, timeoutMilliseconds: 10_000 };

describe("DrainController", () => {
    test("accepts requests while not ready, then refuses them, then waits for those in flight", async () => {
        const controller = new DrainController(options, new SilentLogger());
        const end = controller.beginRequest();
        let drained = false;
        void controller.drain().then(() => drained = true);
        expect([controller.ready, controller.accepting]).toEqual([false, true]);
        await jest.advanceTimersByTimeAsync(2000);
        expect(controller.accepting).toBe(false);
        await jest.advanceTimersByTimeAsync(5000);
        expect(drained).toBe(false);
        end();
        end();
        await jest.advanceTimersByTimeAsync(0);
        expect(drained).toBe(true);
        expect(controller.requestsInFlight).toBe(0);
    });

    test("ends the drain at the timeout if a request never ends", async () => {
        const controller = new DrainController(options, new SilentLogger());
        controller.beginRequest();
        let drained = false;
        void controller.drain().then(() => drained = true);
        await jest.advanceTimersByTimeAsync(11_999);
        expect(drained).toBe(false);
        await jest.advanceTimersByTimeAsync(1);
        expect(drained).toBe(true);
    });
});
