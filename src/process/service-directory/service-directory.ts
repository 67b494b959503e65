/** The VMs of plain services, from the platform's list. While the list cannot be read, the last one stands. */
import type { VmEntry } from "../../domain/platform.js";
import type { Location } from "../../domain/topology.js";

/** A VM that runs a plain service. */
export interface ServiceInstance {
    readonly id: string;
    /** Base URL by IP number. */
    readonly address: string;
    readonly location: Location;
}

export class ServiceDirectory {
    private services: ReadonlyMap<string, readonly ServiceInstance[]> = new Map();

    /** Takes over a list; VMs that are leaving get no new calls. */
    applyList(entries: readonly VmEntry[]): void {
        const services = new Map<string, ServiceInstance[]>();
        for (const entry of entries) {
            if (entry.kind === "service" && entry.state === "live") {
                const vms = services.get(entry.className) ?? [];
                vms.push(toServiceInstance(entry));
                services.set(entry.className, vms);
            }
        }
        this.services = services;
    }

    /** The VMs that may get new calls. */
    instancesOf(service: string): readonly ServiceInstance[] {
        return this.services.get(service) ?? [];
    }

    /** The VMs of the service that the given VM runs, itself included; undefined if it runs none. */
    poolOf(vm: string): readonly string[] | undefined {
        for (const vms of this.services.values()) {
            if (vms.some(each => each.id === vm)) {
                return vms.map(each => each.id);
            }
        }
        return undefined;
    }
}

function toServiceInstance(entry: VmEntry): ServiceInstance {
    const { id, address, region, availabilityZone } = entry;
    return { id, address, location: { region, availabilityZone } };
}
