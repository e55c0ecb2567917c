"""What is not part of the public interface."""
