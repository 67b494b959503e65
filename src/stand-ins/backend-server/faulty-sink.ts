/** Injects faults into the frames that an engine sends to the router. */
import type { EngineFrame } from "../../domain/engine-protocol.js";
import type { FrameFaultRule, FrameSink } from "./types.js";

export class FaultySink implements FrameSink {
    private delayedFrames = 0;
    private endAfterDelayedFrames = false;

    constructor(private readonly sink: FrameSink, private readonly currentRule: () => FrameFaultRule | undefined) {}

    write(frame: EngineFrame): void {
        const fault = this.currentRule()?.(frame);
        switch (fault?.kind) {
            case undefined:
                this.sink.write(frame);
                break;
            case "drop":
                break;
            case "duplicate":
                this.sink.write(frame);
                this.sink.write(frame);
                break;
            case "delay":
                this.writeDelayed(frame, fault.milliseconds);
                break;
            case "cross":
                this.sink.write({ ...frame, attemptId: fault.attemptId });
                break;
            case "layers":
                this.sink.write(frame.type === "token" ? { ...frame, layers: fault.layers } : frame);
                break;
        }
    }

    end(): void {
        if (this.delayedFrames > 0) {
            this.endAfterDelayedFrames = true;
            return;
        }
        this.sink.end();
    }

    fail(): void {
        this.sink.fail();
    }

    private writeDelayed(frame: EngineFrame, milliseconds: number): void {
        this.delayedFrames++;
        setTimeout(() => {
            this.sink.write(frame);
            this.delayedFrames--;
            if (this.endAfterDelayedFrames && this.delayedFrames === 0) {
                this.sink.end();
            }
        }, milliseconds);
    }
}
