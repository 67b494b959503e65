/** Admission in order of arrival up to a fixed limit on work under way: the baseline that benchmarks compare with. */
import { monotonicNow } from "../../common/clock.js";
import type { Admission, AdmissionRequest, AdmissionTicket } from "./types.js";

export class FirstComeFirstServedAdmission implements Admission {
    private readonly waiting: { readonly tokens: number; readonly admit: () => void; }[] = [];
    private tokensUnderWay = 0;

    constructor(private readonly tokenLimit: number) {}

    admit(request: AdmissionRequest): Promise<AdmissionTicket> {
        const queuedAt = monotonicNow();
        return new Promise(resolve => {
            this.waiting.push({
                tokens: request.tokens,
                admit: () =>
                    resolve({
                        queuedMilliseconds: monotonicNow() - queuedAt,
                        release: () => {
                            this.tokensUnderWay -= request.tokens;
                            this.serve();
                        },
                    }),
            });
            this.serve();
        });
    }

    private serve(): void {
        while (this.waiting.length > 0 && this.tokensUnderWay + this.waiting[0]!.tokens <= this.tokenLimit) {
            const next = this.waiting.shift()!;
            this.tokensUnderWay += next.tokens;
            next.admit();
        }
    }
}
