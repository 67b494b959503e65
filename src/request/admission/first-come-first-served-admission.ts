/** First-come, first-served admission with a fixed limit on the tokens in flight; the baseline in benchmarks. */
import { monotonicNow } from "../../common/clock.js";
import type { Admission, AdmissionRequest, AdmissionTicket } from "./types.js";

export class FirstComeFirstServedAdmission implements Admission {
    private readonly queue: { readonly tokens: number; readonly admit: () => void; }[] = [];
    private tokensInFlight = 0;

    constructor(private readonly tokenLimit: number) {}

    admit(request: AdmissionRequest): Promise<AdmissionTicket> {
        const queuedAt = monotonicNow();
        return new Promise(resolve => {
            this.queue.push({
                tokens: request.tokens,
                admit: () =>
                    resolve({
                        queuedMilliseconds: monotonicNow() - queuedAt,
                        release: () => {
                            this.tokensInFlight -= request.tokens;
                            this.admitQueued();
                        },
                    }),
            });
            this.admitQueued();
        });
    }

    private admitQueued(): void {
        while (this.queue.length > 0 && this.tokensInFlight + this.queue[0]!.tokens <= this.tokenLimit) {
            const next = this.queue.shift()!;
            this.tokensInFlight += next.tokens;
            next.admit();
        }
    }
}
