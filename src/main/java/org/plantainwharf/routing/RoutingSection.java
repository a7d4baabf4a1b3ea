package org.plantainwharf.routing;

/** Learned speeds and prefix hints of backend servers. Written by the controllers of this package. Owned by the control thread. */
public final class RoutingSection {
    private RoutingSection() {}

    /** Returns an empty section. */
    public static RoutingSection create() {
        return new RoutingSection();
    }
}
